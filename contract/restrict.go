package contract

// Restrictions are the combined effect of operators' orders and of quarantines. They apply on top of
// the accepted configuration and only ever remove zones and versions from service.
type Restrictions struct {
	ZonesOut          map[string]bool
	VersionsWithdrawn map[VersionID]bool
}

// Restrict returns a snapshot of the same revision with the restrictions applied; s itself does not
// change. Zones and versions that the snapshot does not contain are ignored.
func (s *Snapshot) Restrict(restrictions Restrictions) *Snapshot {
	if len(restrictions.ZonesOut) == 0 && len(restrictions.VersionsWithdrawn) == 0 {
		return s
	}
	document := *s.Document
	document.Zones = append([]Zone(nil), s.Document.Zones...)
	for i := range document.Zones {
		if restrictions.ZonesOut[document.Zones[i].Name] {
			document.Zones[i].OutOfService = true
		}
	}
	document.Models = append([]Model(nil), s.Document.Models...)
	for i := range document.Models {
		model := &document.Models[i]
		model.Versions = append([]ModelVersion(nil), model.Versions...)
		for j := range model.Versions {
			if restrictions.VersionsWithdrawn[VersionID{model.Name, model.Versions[j].Name}] {
				model.Versions[j].State = VersionWithdrawn
			}
		}
	}
	return newSnapshot(&document, s.Revision)
}

package contract

// Restrictions are operators' orders and quarantines that hold before, and in addition to, an
// accepted configuration. They only ever take away.
type Restrictions struct {
	ZonesOut          map[string]bool
	VersionsWithdrawn map[VersionID]bool
}

// Restrict returns a snapshot of the same revision in which the restrictions hold too: the most
// restrictive wins. Names that the snapshot does not know have no effect.
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
	return index(&document, s.Revision)
}

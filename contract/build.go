package contract

import "sort"

// Build validates the document as a whole and returns its snapshot at the revision. It fills in
// defaults. An error is *Invalid.
func Build(document *Document, revision Revision) (*Snapshot, error) {
	snapshot, invalid := check(document, revision)
	if invalid != nil {
		return nil, invalid
	}
	return snapshot, nil
}

// BuildAccepted is Build for a document that the store has accepted: an order that only takes away,
// such as withdrawing a pool's last version, may leave routes that nothing can serve.
func BuildAccepted(document *Document, revision Revision) (*Snapshot, error) {
	snapshot, invalid := check(document, revision)
	if invalid != nil && len(invalid.Broken()) > 0 {
		return nil, &Invalid{Findings: invalid.Broken()}
	}
	return snapshot, nil
}

func check(document *Document, revision Revision) (*Snapshot, *Invalid) {
	document.fillDefaults()
	snapshot := index(document, revision)
	c := &checker{document: document, snapshot: snapshot}
	c.run()
	if len(c.findings) == 0 {
		return snapshot, nil
	}
	return snapshot, &Invalid{Findings: c.located()}
}

func index(document *Document, revision Revision) *Snapshot {
	s := &Snapshot{
		Revision:           revision,
		Document:           document,
		Zones:              make(map[string]*Zone),
		Customers:          make(map[string]*Customer),
		Models:             make(map[string]*Model),
		Versions:           make(map[VersionID]*ModelVersion),
		Pools:              make(map[string]*Pool),
		Routes:             make(map[string]*Route),
		customersByKeyHash: make(map[string]*Customer),
		routesByModel:      make(map[string][]*Route),
	}
	for i := range document.Zones {
		setFirst(s.Zones, document.Zones[i].Name, &document.Zones[i])
	}
	for i := range document.Customers {
		customer := &document.Customers[i]
		setFirst(s.Customers, customer.Name, customer)
		for _, hash := range customer.KeyHashes {
			setFirst(s.customersByKeyHash, hash, customer)
		}
	}
	for i := range document.Models {
		model := &document.Models[i]
		setFirst(s.Models, model.Name, model)
		for j := range model.Versions {
			setFirst(s.Versions, VersionID{model.Name, model.Versions[j].Name}, &model.Versions[j])
		}
	}
	for i := range document.Pools {
		setFirst(s.Pools, document.Pools[i].Name, &document.Pools[i])
	}
	s.indexRoutes(document)
	return s
}

func (s *Snapshot) indexRoutes(document *Document) {
	for i := range document.Routes {
		route := &document.Routes[i]
		setFirst(s.Routes, route.Name, route)
		if route.Model != "" {
			s.routesByModel[route.Model] = append(s.routesByModel[route.Model], route)
		}
		if route.PathPrefix != "" {
			s.servicePrefixes = append(s.servicePrefixes, route)
		}
	}
	sort.SliceStable(s.servicePrefixes, func(i, j int) bool {
		return len(s.servicePrefixes[i].PathPrefix) > len(s.servicePrefixes[j].PathPrefix)
	})
}

// setFirst keeps the first of several values, so that validation can tell the duplicates.
func setFirst[K comparable, V any](m map[K]*V, key K, value *V) {
	if m[key] == nil {
		m[key] = value
	}
}

package contract

import "sort"

// Build fills in defaults, validates the document as a whole and returns its snapshot at the
// revision. The snapshot keeps the document, which must not be modified afterwards. Errors are of
// type *ValidationError.
func Build(document *Document, revision Revision) (*Snapshot, error) {
	snapshot, invalid := check(document, revision)
	if invalid != nil {
		return nil, invalid
	}
	return snapshot, nil
}

// BuildAccepted is like Build but ignores unservable findings. It is for documents that the store
// has accepted: a restrictive order, such as withdrawing a pool's last version, may leave routes
// without a usable version.
func BuildAccepted(document *Document, revision Revision) (*Snapshot, error) {
	snapshot, invalid := check(document, revision)
	if invalid != nil && len(invalid.Fatal()) > 0 {
		return nil, &ValidationError{Findings: invalid.Fatal()}
	}
	return snapshot, nil
}

func check(document *Document, revision Revision) (*Snapshot, *ValidationError) {
	document.fillDefaults()
	snapshot := newSnapshot(document, revision)
	c := &checker{document: document, snapshot: snapshot}
	c.run()
	if len(c.findings) == 0 {
		return snapshot, nil
	}
	return snapshot, &ValidationError{Findings: c.locateFindings()}
}

func newSnapshot(document *Document, revision Revision) *Snapshot {
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
		setIfAbsent(s.Zones, document.Zones[i].Name, &document.Zones[i])
	}
	for i := range document.Customers {
		customer := &document.Customers[i]
		setIfAbsent(s.Customers, customer.Name, customer)
		for _, hash := range customer.KeyHashes {
			setIfAbsent(s.customersByKeyHash, hash, customer)
		}
	}
	for i := range document.Models {
		model := &document.Models[i]
		setIfAbsent(s.Models, model.Name, model)
		for j := range model.Versions {
			setIfAbsent(s.Versions, VersionID{model.Name, model.Versions[j].Name}, &model.Versions[j])
		}
	}
	for i := range document.Pools {
		setIfAbsent(s.Pools, document.Pools[i].Name, &document.Pools[i])
	}
	s.indexRoutes(document)
	return s
}

func (s *Snapshot) indexRoutes(document *Document) {
	for i := range document.Routes {
		route := &document.Routes[i]
		setIfAbsent(s.Routes, route.Name, route)
		if route.Model != "" {
			s.routesByModel[route.Model] = append(s.routesByModel[route.Model], route)
		}
		if route.PathPrefix != "" {
			s.serviceRoutes = append(s.serviceRoutes, route)
		}
	}
	sort.SliceStable(s.serviceRoutes, func(i, j int) bool {
		return len(s.serviceRoutes[i].PathPrefix) > len(s.serviceRoutes[j].PathPrefix)
	})
}

// setIfAbsent keeps the first value of a key. Validation compares pointers: an entry that is not the
// one in the map is a duplicate.
func setIfAbsent[K comparable, V any](m map[K]*V, key K, value *V) {
	if m[key] == nil {
		m[key] = value
	}
}

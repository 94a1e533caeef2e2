package contract

import "sort"

// Build validates the document as a whole and returns its snapshot at the revision.
func Build(document *Document, revision Revision) (*Snapshot, error) {
	snapshot := index(document, revision)
	if err := validate(document, snapshot); err != nil {
		return nil, err
	}
	return snapshot, nil
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
		s.Zones[document.Zones[i].Name] = &document.Zones[i]
	}
	for i := range document.Customers {
		customer := &document.Customers[i]
		s.Customers[customer.Name] = customer
		for _, hash := range customer.KeyHashes {
			s.customersByKeyHash[hash] = customer
		}
	}
	for i := range document.Models {
		model := &document.Models[i]
		s.Models[model.Name] = model
		for j := range model.Versions {
			s.Versions[VersionID{model.Name, model.Versions[j].Name}] = &model.Versions[j]
		}
	}
	for i := range document.Pools {
		s.Pools[document.Pools[i].Name] = &document.Pools[i]
	}
	s.indexRoutes(document)
	return s
}

func (s *Snapshot) indexRoutes(document *Document) {
	for i := range document.Routes {
		route := &document.Routes[i]
		s.Routes[route.Name] = route
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

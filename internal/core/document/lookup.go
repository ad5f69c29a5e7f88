package document

// ServiceByName returns the service with the name, or nil.
func (d *Document) ServiceByName(name string) *Service {
	for i := range d.Services {
		if d.Services[i].Name == name {
			return &d.Services[i]
		}
	}
	return nil
}

// PlaceByName returns the place with the name, or nil.
func (d *Document) PlaceByName(name string) *Place {
	for i := range d.Places {
		if d.Places[i].Name == name {
			return &d.Places[i]
		}
	}
	return nil
}

// RegionByName returns the region with the name, or nil.
func (d *Document) RegionByName(name string) *Region {
	for i := range d.Regions {
		if d.Regions[i].Name == name {
			return &d.Regions[i]
		}
	}
	return nil
}

// EntryByName returns the entry with the name and its place, or nil and nil.
func (d *Document) EntryByName(name string) (*Entry, *Place) {
	for i := range d.Places {
		place := &d.Places[i]
		for j := range place.Entries {
			if place.Entries[j].Name == name {
				return &place.Entries[j], place
			}
		}
	}
	return nil, nil
}

// OperatorByToken returns the operator whose token has the given hex SHA-256, or
// nil.
func (d *Document) OperatorByToken(sha256Hex string) *Operator {
	for i := range d.Operators {
		if d.Operators[i].TokenSHA256 == sha256Hex {
			return &d.Operators[i]
		}
	}
	return nil
}

// Drained says whether a place is drained for a service, by a drain of that service
// or of all.
func (d *Document) Drained(place, service string) bool {
	for _, drain := range d.Drains {
		if drain.Place == place && (drain.Service == "" || drain.Service == service) {
			return true
		}
	}
	return false
}

// EntryCount returns the number of entries in all places.
func (d *Document) EntryCount() int {
	count := 0
	for i := range d.Places {
		count += len(d.Places[i].Entries)
	}
	return count
}

// EntryNames returns the names of all entries in the order of the document.
func (d *Document) EntryNames() []string {
	names := make([]string, 0, d.EntryCount())
	for i := range d.Places {
		for _, e := range d.Places[i].Entries {
			names = append(names, e.Name)
		}
	}
	return names
}

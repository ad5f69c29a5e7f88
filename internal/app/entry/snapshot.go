package entry

import (
	"sassafrasreach/internal/core/document"
	"sassafrasreach/internal/core/membership"
	"sassafrasreach/internal/core/steering"
	"sassafrasreach/internal/port"
)

// snapshot is one version of the document, indexed for look-ups. It is
// immutable.
type snapshot struct {
	config  port.Config
	doc     *document.Document
	table   *steering.Table
	entries map[string]entryAddress
	peers   []membership.Peer
	regions map[string]regionOfPlace
}

// regionOfPlace holds what a place inherits from its region.
type regionOfPlace struct {
	name           string
	reservePercent int
}

// entryAddress holds the place of an entry and the IP:ports where it serves
// callers and peers.
type entryAddress struct {
	place  string
	caller string
	peer   string
}

// newSnapshot parses and indexes a document. It returns an error if the
// document is invalid.
func newSnapshot(config port.Config) (*snapshot, error) {
	doc, err := document.ParseValid(config.Document)
	if err != nil {
		return nil, err
	}
	table, err := steering.NewTable(doc)
	if err != nil {
		return nil, err
	}
	s := &snapshot{
		config:  config,
		doc:     doc,
		table:   table,
		entries: make(map[string]entryAddress),
		regions: make(map[string]regionOfPlace),
	}
	for _, place := range doc.Places {
		if region := doc.RegionByName(place.Region); region != nil {
			s.regions[place.Name] = regionOfPlace{region.Name, region.ReservePercent}
		}
		for _, entry := range place.Entries {
			s.entries[entry.Name] = entryAddress{place: place.Name, caller: entry.Caller, peer: entry.Peer}
			s.peers = append(s.peers, membership.Peer{
				Name:    entry.Name,
				Place:   place.Name,
				Region:  place.Region,
				Address: entry.Peer,
			})
		}
	}
	return s, nil
}

package membership

import (
	"slices"
	"strings"
)

// Directory is an immutable index of the peers. Tables may share one.
type Directory struct {
	// byName holds the index in peers of each named peer that has a place.
	byName map[string]int
	// peers is sorted by name and address.
	peers []Peer
	// cells holds for each peer the number of its cell within its place.
	cells []int
	// places holds the cells of each place, as indexes in peers.
	places map[string][][]int
	// regions lists the places of each region.
	regions map[string][]string
	// region holds the region of each place.
	region map[string]string
	// seeds holds the indexes of the peers without a name or a place.
	seeds []int
}

// NewDirectory indexes peers and divides each place into cells of at most
// cellSize members. Every entry that has the same peers gets the same cells.
func NewDirectory(peers []Peer, cellSize int) *Directory {
	sorted := slices.Clone(peers)
	slices.SortFunc(sorted, func(a, b Peer) int {
		return strings.Compare(a.Name+"\x00"+a.Address, b.Name+"\x00"+b.Address)
	})
	d := &Directory{
		byName:  make(map[string]int, len(sorted)),
		peers:   sorted,
		cells:   make([]int, len(sorted)),
		places:  make(map[string][][]int),
		regions: make(map[string][]string),
		region:  make(map[string]string),
	}
	members := make(map[string][]int)
	for i, p := range sorted {
		if p.Name == "" || p.Place == "" {
			d.seeds = append(d.seeds, i)
			continue
		}
		d.byName[p.Name] = i
		members[p.Place] = append(members[p.Place], i)
		d.addRegion(p)
	}
	for place, list := range members {
		d.places[place] = d.divide(list, cellSize)
	}
	return d
}

func (d *Directory) addRegion(p Peer) {
	if p.Region == "" {
		return
	}
	if _, ok := d.region[p.Place]; ok {
		return
	}
	d.region[p.Place] = p.Region
	d.regions[p.Region] = append(d.regions[p.Region], p.Place)
}

// divide distributes the members of a place over its cells in round-robin
// order.
func (d *Directory) divide(list []int, cellSize int) [][]int {
	count := max(1, (len(list)+cellSize-1)/cellSize)
	cells := make([][]int, count)
	for k, index := range list {
		cell := k % count
		d.cells[index] = cell
		cells[cell] = append(cells[cell], index)
	}
	return cells
}

// Peer returns the peer with the given name; false means that it is not listed
// or has no place.
func (d *Directory) Peer(name string) (Peer, bool) {
	i, ok := d.byName[name]
	if !ok {
		return Peer{}, false
	}
	return d.peers[i], true
}

// sameCell reports whether two listed entries are in the same cell.
func (d *Directory) sameCell(a, b string) bool {
	i, okA := d.byName[a]
	j, okB := d.byName[b]
	if !okA || !okB {
		return false
	}
	return d.peers[i].Place == d.peers[j].Place && d.cells[i] == d.cells[j]
}

// regionPlaces returns the other places in the region of a place.
func (d *Directory) regionPlaces(place string) []string {
	var others []string
	for _, p := range d.regions[d.region[place]] {
		if p != place {
			others = append(others, p)
		}
	}
	return others
}

// Names returns the names of the listed entries in sorted order.
func (d *Directory) Names() []string {
	names := make([]string, 0, len(d.byName))
	for _, p := range d.peers {
		if _, ok := d.byName[p.Name]; ok && p.Place != "" {
			names = append(names, p.Name)
		}
	}
	return names
}

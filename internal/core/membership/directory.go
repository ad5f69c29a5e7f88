package membership

import (
	"slices"
	"strings"
)

// Directory is an immutable index of the peers. Tables may share one.
type Directory struct {
	byName  map[string]int
	peers   []Peer
	cells   []int
	places  map[string][][]int
	regions map[string][]string
	region  map[string]string
	seeds   []int
}

// NewDirectory indexes peers and divides each place into cells of at most
// cellSize members; every entry with the same peers gets the same cells.
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

// divide deals the members of a place out to its cells.
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

// Peer returns the peer with the given name.
func (d *Directory) Peer(name string) (Peer, bool) {
	i, ok := d.byName[name]
	if !ok {
		return Peer{}, false
	}
	return d.peers[i], true
}

// sameCell says whether two listed entries are in one cell.
func (d *Directory) sameCell(a, b string) bool {
	i, okA := d.byName[a]
	j, okB := d.byName[b]
	if !okA || !okB {
		return false
	}
	return d.peers[i].Place == d.peers[j].Place && d.cells[i] == d.cells[j]
}

// regionPlaces returns the other places of a place's region.
func (d *Directory) regionPlaces(place string) []string {
	var others []string
	for _, p := range d.regions[d.region[place]] {
		if p != place {
			others = append(others, p)
		}
	}
	return others
}

// Names returns the names of the listed entries in order.
func (d *Directory) Names() []string {
	names := make([]string, 0, len(d.byName))
	for _, p := range d.peers {
		if _, ok := d.byName[p.Name]; ok && p.Place != "" {
			names = append(names, p.Name)
		}
	}
	return names
}

package document

import (
	"fmt"
	"net/netip"
	"slices"
)

func (v *validator) places() {
	if len(v.doc.Places) == 0 {
		v.fault("places", "at least one place is needed")
	}
	names := make(map[string]string)
	entries := make(map[string]string)
	addresses := make(map[string]string)
	used := v.usedPlaces()
	for i, p := range v.doc.Places {
		path := fmt.Sprintf("places[%d]", i)
		v.name(path+".name", p.Name, names)
		if v.region[p.Name] {
			v.fault(path+".name", "%q is also the name of a region", p.Name)
		}
		v.knownRegion(path+".region", p.Region)
		if service, ok := used[p.Name]; ok && len(p.Entries) == 0 {
			v.fault(path+".entries", "service %q has this place, so it needs at least one entry", service)
		}
		for j, e := range p.Entries {
			at := fmt.Sprintf("%s.entries[%d]", path, j)
			v.name(at+".name", e.Name, entries)
			v.address(at+".caller", e.Caller, addresses)
			v.address(at+".peer", e.Peer, addresses)
		}
	}
}

// usedPlaces maps each place that a service has to the first such service.
func (v *validator) usedPlaces() map[string]string {
	used := make(map[string]string)
	for _, s := range v.doc.Services {
		for _, place := range s.Places {
			if _, ok := used[place]; !ok {
				used[place] = s.Name
			}
		}
	}
	return used
}

// CheckAddress returns why text isn't an IP:port that a VM can be reached at,
// or an empty text when it is.
func CheckAddress(text string) string {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return fmt.Sprintf("%q isn't IP:port", text)
	case address.Port() == 0:
		return fmt.Sprintf("%q has port 0", text)
	case address.Addr().IsUnspecified(), address.Addr().IsMulticast(), address.Addr().Zone() != "":
		return fmt.Sprintf("%q isn't the address of one VM", text)
	default:
		return ""
	}
}

func (v *validator) address(path, text string, seen map[string]string) {
	if reason := CheckAddress(text); reason != "" {
		v.fault(path, "%s", reason)
		return
	}
	v.once(path, netip.MustParseAddrPort(text).String(), seen)
}

// clientBlock is a client block and where it stands.
type clientBlock struct {
	prefix      netip.Prefix
	place, nth  int
	placeOfName string
}

func (b clientBlock) path() string { return fmt.Sprintf("places[%d].clients[%d]", b.place, b.nth) }

// clients reports malformed blocks, equal blocks, and blocks of different
// places that overlap. Sorted by address and length, the blocks that hold a
// block are those of a stack, so each block is compared with its holders only.
func (v *validator) clients() {
	blocks := v.clientBlocks()
	slices.SortStableFunc(blocks, func(a, b clientBlock) int {
		if c := a.prefix.Addr().Compare(b.prefix.Addr()); c != 0 {
			return c
		}
		return a.prefix.Bits() - b.prefix.Bits()
	})
	var holders []clientBlock
	for _, b := range blocks {
		for len(holders) > 0 && !holders[len(holders)-1].prefix.Overlaps(b.prefix) {
			holders = holders[:len(holders)-1]
		}
		v.clientOverlap(b, holders)
		holders = append(holders, b)
	}
}

func (v *validator) clientBlocks() []clientBlock {
	var blocks []clientBlock
	for i, p := range v.doc.Places {
		for j, text := range p.Clients {
			b := clientBlock{place: i, nth: j, placeOfName: p.Name}
			prefix, err := netip.ParsePrefix(text)
			if err != nil {
				v.fault(b.path(), "%q isn't a client block such as 10.1.0.0/16", text)
				continue
			}
			if prefix != prefix.Masked() {
				v.fault(b.path(), "%s has bits after its length; %s is the block", text, prefix.Masked())
				continue
			}
			b.prefix = prefix
			blocks = append(blocks, b)
		}
	}
	return blocks
}

func (v *validator) clientOverlap(b clientBlock, holders []clientBlock) {
	for k := len(holders) - 1; k >= 0; k-- {
		h := holders[k]
		if h.place != b.place {
			v.fault(b.path(), "%s overlaps %s of place %q at %s", b.prefix, h.prefix, h.placeOfName, h.path())
			return
		}
		if h.prefix == b.prefix {
			v.fault(b.path(), "%s stands already at %s", b.prefix, h.path())
			return
		}
	}
}

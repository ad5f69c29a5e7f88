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
			v.fault(path+".name", "%q is also the name of a region; places and regions must have different names", p.Name)
		}
		v.knownRegion(path+".region", p.Region)
		if service, ok := used[p.Name]; ok && len(p.Entries) == 0 {
			v.fault(path+".entries", "service %q has this place, so the place needs at least one entry", service)
		}
		for j, e := range p.Entries {
			at := fmt.Sprintf("%s.entries[%d]", path, j)
			v.name(at+".name", e.Name, entries)
			v.address(at+".caller", e.Caller, addresses)
			v.address(at+".peer", e.Peer, addresses)
		}
	}
}

// usedPlaces maps each place that some service lists to the first such service.
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

// CheckAddress returns the reason why text isn't an IP:port at which one VM can be
// reached, or an empty text when it is.
func CheckAddress(text string) string {
	address, err := netip.ParseAddrPort(text)
	switch {
	case err != nil:
		return fmt.Sprintf("%q isn't IP:port such as 192.0.2.1:7100", text)
	case address.Port() == 0:
		return fmt.Sprintf("%q has port 0; a port of 1 to 65535 is needed", text)
	case address.Addr().IsUnspecified(), address.Addr().IsMulticast(), address.Addr().Zone() != "":
		return fmt.Sprintf("%q isn't the address of one VM: unspecified and multicast addresses and IPv6 zones aren't allowed", text)
	default:
		return ""
	}
}

// address reports a text that isn't the address of one VM, or one that is in seen.
func (v *validator) address(path, text string, seen map[string]string) {
	if reason := CheckAddress(text); reason != "" {
		v.fault(path, "%s", reason)
		return
	}
	v.unique(path, netip.MustParseAddrPort(text).String(), seen)
}

// clientBlock is a client block with the index of its place and its index among
// the place's blocks.
type clientBlock struct {
	prefix            netip.Prefix
	placeIndex, index int
	placeName         string
}

func (b clientBlock) path() string {
	return fmt.Sprintf("places[%d].clients[%d]", b.placeIndex, b.index)
}

// clients reports malformed blocks, duplicate blocks, and overlapping blocks of
// different places. When the blocks are sorted by address and prefix length, those
// that enclose a block form a stack, so each block is compared only with these.
func (v *validator) clients() {
	blocks := v.clientBlocks()
	slices.SortStableFunc(blocks, func(a, b clientBlock) int {
		if c := a.prefix.Addr().Compare(b.prefix.Addr()); c != 0 {
			return c
		}
		return a.prefix.Bits() - b.prefix.Bits()
	})
	var enclosing []clientBlock
	for _, b := range blocks {
		for len(enclosing) > 0 && !enclosing[len(enclosing)-1].prefix.Overlaps(b.prefix) {
			enclosing = enclosing[:len(enclosing)-1]
		}
		v.clientOverlap(b, enclosing)
		enclosing = append(enclosing, b)
	}
}

// clientBlocks returns the well-formed blocks and reports the others.
func (v *validator) clientBlocks() []clientBlock {
	var blocks []clientBlock
	for i, p := range v.doc.Places {
		for j, text := range p.Clients {
			b := clientBlock{placeIndex: i, index: j, placeName: p.Name}
			prefix, err := netip.ParsePrefix(text)
			if err != nil {
				v.fault(b.path(), "%q isn't a client block such as 10.1.0.0/16", text)
				continue
			}
			if prefix != prefix.Masked() {
				v.fault(b.path(), "%s has bits set after its prefix length; %s is the block", text, prefix.Masked())
				continue
			}
			b.prefix = prefix
			blocks = append(blocks, b)
		}
	}
	return blocks
}

// clientOverlap compares a block with those that enclose it, the smallest first,
// and reports at most one fault.
func (v *validator) clientOverlap(b clientBlock, enclosing []clientBlock) {
	for k := len(enclosing) - 1; k >= 0; k-- {
		outer := enclosing[k]
		if outer.placeIndex != b.placeIndex {
			v.fault(b.path(), "%s overlaps %s of place %q at %s; blocks of different places must not overlap", b.prefix, outer.prefix, outer.placeName, outer.path())
			return
		}
		if outer.prefix == b.prefix {
			v.fault(b.path(), "%s is a duplicate of %s; it must be unique", b.prefix, outer.path())
			return
		}
	}
}

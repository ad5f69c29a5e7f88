package link

// Gateway is a gateway that the directory may name.
type Gateway struct {
	Address, Zone, Region string
	// Percent is the reported use of its link; 0 if unknown.
	Percent int
}

// Nearest returns the gateways for a client of a failure domain: those of the domain, else
// of its region, else all. Of these it leaves out the ones whose links are full while at
// least half have room; clients would else crowd the links of a few. If fewer have room in
// the failure domain, the same is tried in the region, which is near, too.
func Nearest(all []Gateway, zone, region string) []Gateway {
	inZone := filter(all, func(g Gateway) bool { return g.Zone == zone })
	inRegion := filter(all, func(g Gateway) bool { return g.Region == region })
	for _, near := range [][]Gateway{inZone, inRegion} {
		roomy := filter(near, func(g Gateway) bool { return g.Percent < FullPercent })
		if len(near) > 0 && 2*len(roomy) >= len(near) {
			return roomy
		}
	}
	for _, near := range [][]Gateway{inZone, inRegion} {
		if len(near) > 0 {
			return near
		}
	}
	return all
}

func filter(all []Gateway, fits func(Gateway) bool) []Gateway {
	var out []Gateway
	for _, g := range all {
		if fits(g) {
			out = append(out, g)
		}
	}
	return out
}

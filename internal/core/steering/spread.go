package steering

import (
	"cmp"
	"math"
	"slices"
)

// Spread reorders the choices of one ranking for one request, so that requests
// that leave their origin are distributed over all equally good places instead
// of all going to the first one. Choices of one class (equal tier and
// round-trip class) are ordered by weighted rendezvous hashing (Schindelhauer
// and Schomaker 2005) with FreeSlots as the weight. The same request gives the
// same order.
func Spread(choices []Choice, request uint64) {
	for start := 0; start < len(choices); {
		end := start + 1
		for end < len(choices) && sameClass(choices[start], choices[end]) {
			end++
		}
		spreadClass(choices[start:end], request)
		start = end
	}
}

func sameClass(a, b Choice) bool { return a.tier == b.tier && a.distance == b.distance }

func spreadClass(choices []Choice, request uint64) {
	slices.SortStableFunc(choices, func(a, b Choice) int {
		return cmp.Compare(a.weightedHash(request), b.weightedHash(request))
	})
}

// weightedHash returns a number that is exponentially distributed over the
// requests, with FreeSlots as its rate: the place with the most free slots has the
// lowest number most often.
func (c Choice) weightedHash(request uint64) float64 {
	hash := mix(spreadHash(c.Place, "", "") ^ mix(request))
	uniform := (float64(hash>>11) + 1) / (1 << 53)
	return -math.Log(uniform) / float64(max(c.FreeSlots, 1))
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood 2014).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

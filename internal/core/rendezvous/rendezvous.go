// Package rendezvous ranks places for keys by highest random weight (Thaler and
// Ravishankar, 1998): all that know the same places choose alike, and a place
// that comes or goes moves only its own keys.
package rendezvous

import "hash/fnv"

// Weight returns a place's weight for a key; the highest wins. It is FNV-1a,
// mixed by the finalizer of SplitMix64 (Steele, Lea and Flood, 2014): without it
// keys that differ in their last bytes rank places alike.
func Weight(place, key string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(place)) // a hash.Hash returns no error
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(key))
	h := sum.Sum64()
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}

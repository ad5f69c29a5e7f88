// Package rendezvous ranks nodes for keys by rendezvous hashing, also called
// highest random weight (Thaler and Ravishankar, 1998). All processes that know
// the same nodes rank them alike, and adding or removing a node moves only the
// keys that this node gains or loses.
package rendezvous

import "hash/fnv"

// Weight returns the weight of a node for a key; the node with the highest
// weight is chosen. It is the FNV-1a hash of both, mixed by the finalizer of
// SplitMix64 (Steele, Lea and Flood, 2014): without the mixing, keys that
// differ only in their last bytes rank the nodes alike.
func Weight(node, key string) uint64 {
	sum := fnv.New64a()
	_, _ = sum.Write([]byte(node)) // a hash.Hash returns no error
	_, _ = sum.Write([]byte{0})
	_, _ = sum.Write([]byte(key))
	h := sum.Sum64()
	h = (h ^ (h >> 30)) * 0xbf58476d1ce4e5b9
	h = (h ^ (h >> 27)) * 0x94d049bb133111eb
	return h ^ (h >> 31)
}

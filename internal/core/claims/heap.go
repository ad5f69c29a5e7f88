package claims

// notQueued is the index of a claim that is not in the heap.
const notQueued = -1

// claimHeap orders claims by expiry, earliest first. It implements
// heap.Interface.
type claimHeap []*claim

func (h claimHeap) Len() int           { return len(h) }
func (h claimHeap) Less(i, j int) bool { return h[i].expires.Before(h[j].expires) }

func (h claimHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

func (h *claimHeap) Push(x any) {
	c := x.(*claim)
	c.index = len(*h)
	*h = append(*h, c)
}

func (h *claimHeap) Pop() any {
	last := len(*h) - 1
	c := (*h)[last]
	c.index = notQueued
	(*h)[last] = nil
	*h = (*h)[:last]
	return c
}

package gateway

import (
	"context"
	"sync"
	"time"

	"sassafrasreach/internal/port"
)

const (
	// releaseTimeout bounds a call that gives slots back.
	releaseTimeout = time.Second
	// releaseTries bounds the calls for one batch; a grant that isn't given back
	// ends by itself.
	releaseTries = 2
)

// outbox gives slots back to one dispatcher, all that wait in one call.
type outbox struct {
	mu      sync.Mutex
	waiting []port.SlotRelease
	sending bool
}

// release gives a slot back without waiting for it.
func (g *Gateway) release(address string, r port.SlotRelease) {
	g.mu.Lock()
	box := g.releases[address]
	if box == nil {
		box = &outbox{}
		g.releases[address] = box
	}
	g.mu.Unlock()
	box.mu.Lock()
	defer box.mu.Unlock()
	box.waiting = append(box.waiting, r)
	if !box.sending {
		box.sending = true
		go g.flush(address, box)
	}
}

// flush sends batches until nothing waits.
func (g *Gateway) flush(address string, box *outbox) {
	for {
		box.mu.Lock()
		batch := box.waiting
		box.waiting = nil
		if len(batch) == 0 {
			box.sending = false
			box.mu.Unlock()
			return
		}
		box.mu.Unlock()
		g.send(address, batch)
	}
}

func (g *Gateway) send(address string, batch []port.SlotRelease) {
	link, err := g.link(address)
	if err != nil {
		return
	}
	for range releaseTries {
		ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
		err := link.Release(ctx, batch)
		cancel()
		if err == nil {
			return
		}
	}
}

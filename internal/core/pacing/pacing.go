// Package pacing decides when the pieces of large responses are sent, so that small
// messages on the same link don't wait behind a whole response.
//
// What a process writes at once stands in one queue before the VM's link. A response of
// 90 KB holds up a link of 4 Mbit/s for 0.18 s, and with it the requests to endpoints and
// to controllers and the small responses of all other clients.
//
// The package has no I/O, goroutine or clock.
package pacing

import "time"

const (
	// PieceBytes is the size of a piece: at 2 Mbit/s it takes 16 ms.
	PieceBytes = 4 << 10
	// SmallBytes is the size up to which a response is sent at once.
	SmallBytes = 2 * PieceBytes
	// linkShare is the part of the link that pieces use together. The rest is for small
	// messages, which are sent at once.
	linkShare   = 0.85
	bitsPerByte = 8
)

// Pacer spaces the pieces of all large responses of a process. It isn't safe for
// concurrent use.
type Pacer struct {
	perByte time.Duration
	// free is when the next piece may be sent.
	free time.Time
}

// New returns a Pacer for a link with a capacity in bits per second in each direction. With
// 0, the capacity isn't known and nothing waits.
func New(linkBitsPerSecond float64) *Pacer {
	if linkBitsPerSecond <= 0 {
		return &Pacer{}
	}
	return &Pacer{perByte: time.Duration(float64(time.Second) * bitsPerByte / (linkShare * linkBitsPerSecond))}
}

// Reserve returns how long to wait before a piece of n bytes is sent, and reserves its time
// on the link.
func (p *Pacer) Reserve(now time.Time, n int) time.Duration {
	if p.free.Before(now) {
		p.free = now
	}
	wait := p.free.Sub(now)
	p.free = p.free.Add(time.Duration(n) * p.perByte)
	return wait
}

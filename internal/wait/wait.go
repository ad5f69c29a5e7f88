// Package wait provides delays and periodic calls that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d and returns true. It returns false as soon as ctx ends.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Every calls do once per period until ctx ends, first after one period.
func Every(ctx context.Context, period time.Duration, do func()) {
	EveryOrOn(ctx, period, nil, do)
}

// EveryOrOn calls do once per period, and in addition for each receive from
// wake, until ctx ends.
func EveryOrOn(ctx context.Context, period time.Duration, wake <-chan struct{}, do func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-wake:
		case <-ticker.C:
		}
		do()
	}
}

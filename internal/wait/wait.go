// Package wait holds pauses that end with a context.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns false when ctx ended first.
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

// Each calls do each period until ctx ends.
func Each(ctx context.Context, period time.Duration, do func()) {
	EachOr(ctx, period, nil, do)
}

// EachOr calls do each period, and besides whenever wake says so, until ctx ends.
func EachOr(ctx context.Context, period time.Duration, wake <-chan struct{}, do func()) {
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

package membership

import "time"

// relay limits how many times the rows of one entry or group are relayed: Relays
// times, and again once RelayPeriod has passed and there is a newer row (rumor
// mongering with a counter, Demers et al., 1987).
type relay struct {
	// renewedAt is when renew last reset relayCount.
	renewedAt time.Time
	// relayCount is how many times a row was relayed since then, or since a new
	// Leaving mark reset it.
	relayCount int
	// lastRelayed is the own counter at the last relay.
	lastRelayed uint64
}

// renew resets relayCount for a newer row if RelayPeriod has passed since the
// last reset.
func (r *relay) renew(now time.Time, cfg Config) {
	if now.Sub(r.renewedAt) >= cfg.RelayPeriod {
		r.renewedAt = now
		r.relayCount = 0
	}
}

// mayRelay reports whether the row may be relayed once more.
func (r *relay) mayRelay(cfg Config) bool { return r.relayCount < cfg.Relays }

// recordRelay records that the row was relayed in the period with this counter.
func (r *relay) recordRelay(counter uint64) {
	r.relayCount++
	r.lastRelayed = counter
}

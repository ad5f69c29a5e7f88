package membership

import "time"

// relay bounds how often a row is passed on: a row that has come in is passed
// on a few times, and the next one only after a while (rumor mongering with a
// counter, Demers et al., 1987).
type relay struct {
	// fresh is when a row was last taken up for passing on.
	fresh time.Time
	// times counts how often it was passed on.
	times int
	// sent is the own counter when it last was.
	sent uint64
}

// renew takes up a newer row.
func (r *relay) renew(now time.Time, cfg Config) {
	if now.Sub(r.fresh) >= cfg.RelayPeriod {
		r.fresh = now
		r.times = 0
	}
}

// due says whether the row may be passed on once more.
func (r *relay) due(cfg Config) bool { return r.times < cfg.Relays }

// relayed counts that the row was passed on.
func (r *relay) relayed(counter uint64) {
	r.times++
	r.sent = counter
}

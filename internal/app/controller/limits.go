package controller

import (
	"context"
	"log/slog"
	"time"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/event"
	"sassafrasreach/internal/port"
)

// observeSignals records what an endpoint said about itself in its answer to a request
// that r dispatched. A changed limit is sent to the other controllers, since one of
// them may grant the endpoint's slots next. Must hold mu.
func (c *Controller) observeSignals(now time.Time, r *region, s port.SlotRelease) {
	grant, signals := s.Grant, s.Signals
	r.pool.ObserveLoad(now, grant, signals.Load, s.AnsweredAt)
	limit, changed := r.pool.Observe(now, grant, signals)
	if signals.Leaving {
		c.recordLeaving(now, limit.Endpoint, limit.StartedMillis)
	}
	if !changed {
		return
	}
	event.Log(context.Background(), c.ports.Logger, event.LimitChanged, slog.String("region", r.name),
		slog.String("endpoint", limit.Endpoint), slog.Float64("per_second", limit.PerSecond))
	c.recordLimit(now, limit)
	c.limitChanges.add(limit)
}

// recordLeaving records that an endpoint said in an answer that it leaves, and sends
// it to the other controllers as if it were announced. Must hold mu.
func (c *Controller) recordLeaving(now time.Time, id string, startedMillis int64) {
	e, changed := c.endpoints.MarkLeaving(id, startedMillis, now)
	if !changed {
		return
	}
	c.announceSeq++
	c.endedCount++
	c.localAnnounceSeq[id] = c.announceSeq
	c.suspicions.recordAnnouncement(now, e)
	c.updatePools(e)
	c.logEndpoint(e)
	c.notifyChanged()
}

// recordLimit records the limit that an endpoint named to this or another
// controller. Must hold mu.
func (c *Controller) recordLimit(now time.Time, l dispatch.Limit) {
	c.limits[l.Endpoint] = l
	for _, r := range c.regions {
		if r.pool != nil {
			r.pool.SetLimit(now, l)
		}
	}
}

// allLimits returns all known limits, for a controller that has started. Must hold
// mu.
func (c *Controller) allLimits() []dispatch.Limit {
	var out []dispatch.Limit
	for _, l := range c.limits {
		out = append(out, l)
	}
	return out
}

// logLearned logs which endpoints' reports are no longer used, or are again, and which
// learned limits became low, or are no longer. Must hold mu.
func (c *Controller) logLearned(r *region) {
	for _, change := range r.pool.TakeTrustChanges() {
		event.Log(context.Background(), c.ports.Logger, event.ReportsMistrusted, slog.String("region", r.name),
			slog.String("endpoint", change.Endpoint), slog.Bool("mistrusted", change.Mistrusted))
	}
	for _, change := range r.pool.TakeLimitChanges() {
		event.Log(context.Background(), c.ports.Logger, event.ConcurrencyLimited, slog.String("region", r.name),
			slog.String("endpoint", change.Endpoint), slog.Int("limit", change.Limit), slog.Int("slots", change.Slots))
	}
}

// reportGauges sets the gauges of the loads that a service's endpoints reported.
func reportGauges(out map[string]int64, key string, r dispatch.Reports) {
	out["dispatch.reports_recent."+key], out["dispatch.reports_slow."+key] = int64(r.Recent), int64(r.Slow)
	out["dispatch.reports_mistrusted."+key] = int64(r.Mistrusted)
	out["dispatch.reported_waiting."+key], out["dispatch.reported_unknown."+key] = int64(r.Waiting), int64(r.Unknown)
}

// limitGauges sets the gauges of the learned limits of a service's endpoints.
func limitGauges(out map[string]int64, key string, l dispatch.Limits) {
	out["dispatch.limits_learning."+key], out["dispatch.limits_lowered."+key] = int64(l.Learning), int64(l.Lowered)
	out["dispatch.slots_withheld."+key] = int64(l.Withheld)
	out["dispatch.run_percent_plain."+key], out["dispatch.run_percent_learning."+key] = int64(l.PlainPercent), int64(l.LearningPercent)
}

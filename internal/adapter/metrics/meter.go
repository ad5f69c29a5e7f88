package metrics

import (
	"net/http"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"sassafrasreach/internal/core/verdict"
	"sassafrasreach/internal/port"
)

const (
	// sampleSize and sampleAlpha configure the exponentially decaying reservoir of a
	// histogram: about a thousand samples, weighted towards the last five minutes.
	sampleSize  = 1028
	sampleAlpha = 0.015
)

// Meter implements port.Meter, port.FleetMeter and port.PipelineMeter.
type Meter struct {
	registry gometrics.Registry
}

var (
	_ port.Meter         = (*Meter)(nil)
	_ port.FleetMeter    = (*Meter)(nil)
	_ port.PipelineMeter = (*Meter)(nil)
)

// New returns a Meter with its own registry.
func New() *Meter { return &Meter{registry: gometrics.NewRegistry()} }

// Handler serves the registry as JSON. It updates the gauges from the given function
// at each request; nil means none.
func (m *Meter) Handler(gauges func() map[string]int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if gauges != nil {
			for name, value := range gauges() {
				m.set(name, value)
			}
		}
		gometrics.WriteJSONOnce(m.registry, w)
	})
}

func (m *Meter) count(name string) {
	gometrics.GetOrRegisterCounter(name, m.registry).Inc(1)
}

func (m *Meter) set(name string, value int64) {
	gometrics.GetOrRegisterGauge(name, m.registry).Update(value)
}

func (m *Meter) observe(name string, value int64) {
	histogram := m.registry.GetOrRegister(name, newHistogram).(gometrics.Histogram)
	histogram.Update(value)
}

func newHistogram() gometrics.Histogram {
	return gometrics.NewHistogram(gometrics.NewExpDecaySample(sampleSize, sampleAlpha))
}

// RecordRequest implements port.Meter.
func (m *Meter) RecordRequest(service string, v verdict.Verdict, reason verdict.Reason, took time.Duration) {
	m.observe("request.latency_us."+service, took.Microseconds())
	m.count("request.verdict." + v.String())
	if reason != "" {
		m.count("request.reason." + string(reason))
	}
}

// SetGroup implements port.Meter.
func (m *Meter) SetGroup(service, place string, slots, busy, queued int) {
	name := service + "." + place
	m.set("group.slots."+name, int64(slots))
	m.set("group.busy."+name, int64(busy))
	m.set("group.queued."+name, int64(queued))
	m.set("group.headroom."+name, int64(max(0, slots-busy)))
}

// SetVersion implements port.Meter.
func (m *Meter) SetVersion(version uint64) { m.set("document.version", int64(version)) }

// RecordCrossing implements port.Meter.
func (m *Meter) RecordCrossing(rule string) {
	gometrics.GetOrRegisterMeter("cap.moved."+rule, m.registry).Mark(1)
}

// SetQuarantined implements port.Meter.
func (m *Meter) SetQuarantined(count int) { m.set("quarantine.fingerprints", int64(count)) }

// RecordDrain implements port.Meter.
func (m *Meter) RecordDrain(took time.Duration) { m.set("stop.drain_ms", took.Milliseconds()) }

// RecordSlot implements port.FleetMeter.
func (m *Meter) RecordSlot(service string, waited time.Duration, tries int) {
	m.observe("slot.waited_us."+service, waited.Microseconds())
	if tries > 1 {
		gometrics.GetOrRegisterCounter("request.resent."+service, m.registry).Inc(int64(tries - 1))
	}
}

// RecordKeyRefused implements port.FleetMeter.
func (m *Meter) RecordKeyRefused(fault port.KeyFault) { m.count("key.refused." + string(fault)) }

// RecordConnection counts a request's connection to an endpoint by its origin, a name of
// lower-case letters and hyphens.
func (m *Meter) RecordConnection(origin string) { m.count("connection." + origin) }

// RecordDecision implements port.FleetMeter.
func (m *Meter) RecordDecision(service, reason string) {
	if reason == "" {
		m.count("dispatch.granted." + service)
		return
	}
	m.count("dispatch.refused." + reason + "." + service)
}

// RecordOrder implements port.FleetMeter.
func (m *Meter) RecordOrder(accepted bool, took time.Duration) {
	m.observe("order.latency_us", took.Microseconds())
	m.count("order." + outcome(accepted))
}

// RecordItemDropped implements port.FleetMeter.
func (m *Meter) RecordItemDropped(kind string) { m.count("message.dropped." + kind) }

// RecordAnnouncement implements port.FleetMeter.
func (m *Meter) RecordAnnouncement(leaving, accepted bool) {
	if leaving {
		m.count("endpoint.leaving." + outcome(accepted))
		return
	}
	m.count("endpoint.announced." + outcome(accepted))
}

// RecordEvidenceSave implements port.FleetMeter.
func (m *Meter) RecordEvidenceSave() { m.count("evidence.saves") }

// RecordStreamed implements port.FleetMeter.
func (m *Meter) RecordStreamed(service string, complete bool) {
	if complete {
		m.count("response.streamed." + service)
		return
	}
	m.count("response.broken." + service)
}

// RecordRefused implements port.FleetMeter.
func (m *Meter) RecordRefused(clients, reason string) { m.count("refused." + clients + "." + reason) }

// RecordTakeover implements port.PipelineMeter.
func (m *Meter) RecordTakeover() { m.count("pipeline.taken_over") }

// RecordReadAhead implements port.PipelineMeter.
func (m *Meter) RecordReadAhead() { m.count("pipeline.read_ahead") }

// RecordPipelineEnd implements port.PipelineMeter.
func (m *Meter) RecordPipelineEnd(canceled int) {
	m.count("pipeline.ended")
	if canceled > 0 {
		gometrics.GetOrRegisterCounter("pipeline.canceled", m.registry).Inc(int64(canceled))
	}
}

// RecordCut implements port.PipelineMeter.
func (m *Meter) RecordCut(by, why string) { m.count("requests.cut." + by + "." + why) }

func outcome(accepted bool) string {
	if accepted {
		return "accepted"
	}
	return "refused"
}

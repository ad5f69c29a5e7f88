package gateway

import (
	"context"
	"strconv"
	"time"

	"sassafrasreach/internal/core/dispatch"
	"sassafrasreach/internal/core/quarantine"
	"sassafrasreach/internal/core/registry"
	"sassafrasreach/internal/port"
)

const (
	// streamAfter is the size of a response body beyond which it is passed on before it
	// is complete. A smaller one that breaks off can be tried at another endpoint.
	streamAfter = 64 << 10
	// downloadStreamAfter is the same for the routes of downloads. Their links are slow:
	// storing and forwarding this much costs 65 ms at 2 Mbit/s.
	downloadStreamAfter = 16 << 10
	// maxStreamedBytes bounds the body of a response.
	maxStreamedBytes = 64 << 20
)

// setStreaming sets how much of the response is buffered.
func (x *inFlightRequest) setStreaming() {
	x.request.MaxAnswerBytes = maxStreamedBytes
	x.request.StreamAfter = streamAfter
	if x.route.Download {
		x.request.StreamAfter = downloadStreamAfter
	}
}

// slotUse is the use of one slot.
type slotUse struct {
	slot dispatch.Decision
	// address is that of the controller that granted it.
	address string
	began   time.Time
	outcome dispatch.Outcome
	end     quarantine.End
	// signals are what the endpoint said about itself if it answered.
	signals  registry.Signals
	answered bool
	// answeredAt is when the answer, or the beginning of a streamed one, was there.
	answeredAt time.Time
	// responseBytes is the size of the response's body; 0 if it isn't known.
	responseBytes int64
	// streamed means that the use ends with the endpoint's part of a streamed response.
	streamed bool
}

// observe classifies the result of the call.
func (u *slotUse) observe(ctx context.Context, response *port.Response, err error) {
	u.outcome, u.end = outcomeOf(ctx, response, err), runEndOf(response, err)
	if err == nil {
		u.responseBytes = bodySize(response)
	}
}

// bodySize returns the size in bytes of a response's body; 0 if it is streamed and its
// size wasn't declared.
func bodySize(response *port.Response) int64 {
	if response.Rest == nil {
		return int64(len(response.Body))
	}
	declared, err := strconv.ParseInt(response.Header.Get("Content-Length"), 10, 64)
	if err != nil {
		return 0
	}
	return declared
}

// endUse records the end of the use of a slot and releases it.
func (x *inFlightRequest) endUse(u *slotUse) {
	g := x.gateway
	if x.alone {
		g.returnAlone(x.request.Account, u.slot.Endpoint, u.outcome)
		return
	}
	g.recordEnded(u.slot.Endpoint, u.answered, u.signals)
	g.release(u.address, port.SlotRelease{
		Region: x.dispatchRegion, Grant: u.slot.Grant, Outcome: u.outcome, RunEnd: &u.end, Took: g.ports.Clock.Now().Sub(u.began),
		Answered: u.answered, Signals: u.signals, AnsweredAt: u.answeredAt, ResponseBytes: u.responseBytes,
		Suspicion: x.suspicion(u),
	})
}

// suspicion returns what follows from a reset connection; nil if the run ended otherwise.
func (x *inFlightRequest) suspicion(u *slotUse) *port.Suspicion {
	if u.end != quarantine.Reset || x.fingerprint.IsZero() {
		return nil
	}
	return &port.Suspicion{Fingerprint: x.fingerprint, Endpoint: u.slot.Endpoint.ID, StartedMillis: u.slot.Endpoint.StartedMillis}
}

// recordRun records what the end of a run shows about its request and its object.
func (x *inFlightRequest) recordRun(u *slotUse) {
	x.gateway.recordRun(x.fingerprint, u.slot.Endpoint, u.end)
	if u.outcome == dispatch.Served {
		x.gateway.remember(x.objectKey(), u.slot.Endpoint.ID)
	}
}

// followStream ends the use of the slot, and the request, when the endpoint's part of the
// response has ended, however much of it the client has read then.
func (x *inFlightRequest) followStream(ctx context.Context, u *slotUse, response *port.Response) {
	u.streamed, x.streamed = true, true
	x.request.Body, x.request.BodyRest = nil, nil // not sent again, and a slow client may take long
	response.Begin(func(err error) {
		u.observe(ctx, response, err)
		x.recordRun(u)
		x.endUse(u)
		answer := port.ClientAnswer{Response: response}
		if err != nil {
			answer = port.ClientAnswer{Err: err}
		}
		x.gateway.ports.Meter.RecordStreamed(x.service, err == nil)
		x.finish(ctx, answer)
		x.cancel()
	})
}

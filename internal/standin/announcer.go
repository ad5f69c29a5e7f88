package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"sassafrasreach/internal/port"
	"sassafrasreach/internal/wait"
)

const (
	// announceInterval is the time between announcements.
	announceInterval = time.Second
	// announceTimeout limits the time of one announcement to one entry VM.
	announceTimeout = 500 * time.Millisecond
)

// announcer announces the endpoint to one entry VM at a time. When an announcement
// fails, it switches to the next known entry VM.
type announcer struct {
	endpoint    *Endpoint
	client      *http.Client
	entries     []string
	next        int
	incarnation uint64
	sequence    uint64
	wakeUp      chan struct{}
}

func newAnnouncer(e *Endpoint) *announcer {
	return &announcer{
		endpoint:    e,
		client:      &http.Client{Timeout: announceTimeout},
		entries:     e.config.Entries,
		incarnation: uint64(e.started.UnixNano()),
		wakeUp:      make(chan struct{}, 1),
	}
}

// announceNow triggers an announcement without waiting for the next period.
func (a *announcer) announceNow() {
	select {
	case a.wakeUp <- struct{}{}:
	default:
	}
}

func (a *announcer) run(ctx context.Context) {
	announce := func() { a.announce(ctx) }
	announce()
	wait.EveryOrOn(ctx, announceInterval, a.wakeUp, announce)
}

// announce sends an announcement to each known entry VM, starting with the last one
// that accepted, until one accepts.
func (a *announcer) announce(ctx context.Context) {
	a.sequence++
	for range a.entries {
		answer, err := a.send(ctx, a.entries[a.next%len(a.entries)])
		if err == nil {
			a.updateEntries(answer)
			return
		}
		a.client.CloseIdleConnections()
		a.next++
	}
}

// updateEntries replaces the list of known entry VMs by the current one, those of
// the answer and those of the configuration, in this order.
func (a *announcer) updateEntries(answer port.AnnounceAnswer) {
	current := a.entries[a.next%len(a.entries)]
	merged := []string{current}
	for _, address := range append(answer.Entries, a.endpoint.config.Entries...) {
		if !slices.Contains(merged, address) {
			merged = append(merged, address)
		}
	}
	a.entries = merged
	a.next = 0
}

func (a *announcer) send(ctx context.Context, entry string) (port.AnnounceAnswer, error) {
	var answer port.AnnounceAnswer
	body, err := json.Marshal(a.report())
	if err != nil {
		return answer, err
	}
	url := "http://" + entry + "/v1/endpoints/" + a.endpoint.config.ID
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	response, err := a.client.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1<<10))
		return answer, fmt.Errorf("announce to %s: %s: %s", entry, response.Status, text)
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, err
}

func (a *announcer) report() port.Announcement {
	e := a.endpoint
	state := port.EndpointReady
	if e.leaving.Load() {
		state = port.EndpointLeaving
	}
	return port.Announcement{
		ID:          e.config.ID,
		Incarnation: a.incarnation,
		Sequence:    a.sequence,
		Service:     e.config.Service,
		Place:       e.config.Place,
		Address:     e.config.Listen,
		Slots:       e.config.Slots,
		Connections: e.config.Connections,
		State:       state,
		Load:        float64(e.inFlight.Load()) / float64(e.config.Slots),
	}
}

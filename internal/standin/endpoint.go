package standin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"sassafrasreach/internal/event"
	"sassafrasreach/internal/wait"
)

const (
	// headerRequestID is echoed by every answer.
	headerRequestID = "Sassafrasreach-Request-Id"
	// headerTimeout is the remaining time in milliseconds.
	headerTimeout = "Sassafrasreach-Timeout-Ms"
	// headerShed marks the answer of a request that was not started.
	headerShed = "Sassafrasreach-Shed"
	// maxBodyBytes bounds what a stand-in reads.
	maxBodyBytes = 8 << 20
	// exitCrash is the exit status of a crash on request.
	exitCrash = 70
	// idleTimeout closes connections that carry nothing.
	idleTimeout = 2 * time.Minute
	// headerTimeoutLimit bounds the time to read a request's head.
	headerTimeoutLimit = 5 * time.Second
)

// Endpoint serves requests and counts its runs.
type Endpoint struct {
	config  Config
	logger  *slog.Logger
	started time.Time
	runLog  io.Writer

	slots   chan struct{}
	runs    atomic.Int64
	busy    atomic.Int64
	leaving atomic.Bool
}

// New returns an endpoint; the configuration must be valid.
func New(config Config, logger *slog.Logger) (*Endpoint, error) {
	if err := config.Validate(); err != nil {
		return nil, err
	}
	e := &Endpoint{
		config:  config,
		logger:  logger,
		started: time.Now(),
		runLog:  io.Discard,
		slots:   make(chan struct{}, config.Slots),
	}
	if config.RunLog == "" {
		return e, nil
	}
	file, err := os.OpenFile(config.RunLog, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, fmt.Errorf("run log: %w", err)
	}
	e.runLog = file
	return e, nil
}

// Run serves until ctx ends, then announces that it leaves, finishes what it
// runs and returns.
func (e *Endpoint) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: e, IdleTimeout: idleTimeout, ReadHeaderTimeout: headerTimeoutLimit}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	event.Log(ctx, e.logger, event.Listening, slog.String("address", e.config.Listen))

	announcing, stopAnnouncing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopAnnouncing()
	announcer := newAnnouncer(e)
	go announcer.run(announcing)
	select {
	case err := <-failed:
		return fmt.Errorf("serve: %w", err)
	case <-ctx.Done():
	}
	e.leaving.Store(true)
	announcer.wake()
	time.Sleep(e.config.LeaveFor)
	if err := server.Shutdown(context.WithoutCancel(ctx)); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}

// ServeHTTP runs one request, or sheds it.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	select {
	case e.slots <- struct{}{}:
	default:
		shed(w)
		return
	}
	e.busy.Add(1)
	defer func() {
		e.busy.Add(-1)
		<-e.slots
	}()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.run(w, r, body)
}

func (e *Endpoint) run(w http.ResponseWriter, r *http.Request, body []byte) {
	run := e.runs.Add(1)
	_, _ = fmt.Fprintf(e.runLog, "%s %s %s %s\n", e.config.ID, r.Method, r.URL.RequestURI(), body)
	if e.config.CrashOn != "" && string(body) == e.config.CrashOn {
		os.Exit(exitCrash)
	}
	if !sleep(r.Context(), e.workTime(), r.Header.Get(headerTimeout)) {
		http.Error(w, "deadline exceeded", http.StatusGatewayTimeout)
		return
	}
	answer := Answer{
		Endpoint: e.config.ID,
		Service:  e.config.Service,
		Place:    e.config.Place,
		Run:      run,
		Method:   r.Method,
		Target:   r.URL.RequestURI(),
		Body:     string(body),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// Answer is what a stand-in answers.
type Answer struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Place    string `json:"place"`
	// Run counts the runs of this incarnation.
	Run    int64  `json:"run"`
	Method string `json:"method"`
	Target string `json:"target"`
	Body   string `json:"body"`
}

// workTime returns the time of one request, longer while the endpoint is cold.
func (e *Endpoint) workTime() time.Duration {
	age := time.Since(e.started)
	if age >= e.config.Warmup {
		return e.config.Work
	}
	left := 1 - float64(age)/float64(e.config.Warmup)
	return e.config.Work + time.Duration(left*float64(e.config.Cold))
}

// sleep waits for d; false when the caller went away or the remaining time is
// too short for it.
func sleep(ctx context.Context, d time.Duration, remaining string) bool {
	if millis, err := strconv.ParseInt(remaining, 10, 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(millis)*time.Millisecond)
		defer cancel()
	}
	return wait.For(ctx, d)
}

func shed(w http.ResponseWriter) {
	w.Header().Set(headerShed, "true")
	w.WriteHeader(http.StatusServiceUnavailable)
}

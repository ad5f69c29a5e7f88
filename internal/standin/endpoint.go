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
	// headerRequestID carries the request's ID; every response echoes it.
	headerRequestID = "Sassafrasreach-Request-Id"
	// headerTimeout carries the time until the request's deadline, in milliseconds.
	headerTimeout = "Sassafrasreach-Timeout-Ms"
	// headerShed marks the response to a request that was not run.
	headerShed = "Sassafrasreach-Shed"
	// maxBodyBytes limits the body of a request.
	maxBodyBytes = 8 << 20
	// exitCrash is the exit status of a crash by Config.CrashOn.
	exitCrash = 70
	// idleTimeout is how long a connection may be idle between requests.
	idleTimeout = 2 * time.Minute
	// readHeaderTimeout limits the time to read the head of a request.
	readHeaderTimeout = 5 * time.Second
)

// Endpoint serves requests and counts those that it runs.
type Endpoint struct {
	config  Config
	logger  *slog.Logger
	started time.Time
	runLog  io.Writer

	slots    chan struct{}
	runs     atomic.Int64
	inFlight atomic.Int64
	leaving  atomic.Bool
}

// New returns an Endpoint. The error wraps ErrBadConfig if the configuration is
// invalid.
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
		return nil, fmt.Errorf("open run log: %w", err)
	}
	e.runLog = file
	return e, nil
}

// Run serves until ctx ends. Then it announces that it is leaving, still serves for
// LeaveFor, waits for the in-flight requests and returns.
func (e *Endpoint) Run(ctx context.Context) error {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", e.config.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: e, IdleTimeout: idleTimeout, ReadHeaderTimeout: readHeaderTimeout}
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
	announcer.announceNow()
	time.Sleep(e.config.LeaveFor)
	if err := server.Shutdown(context.WithoutCancel(ctx)); err != nil && !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("shutdown: %w", err)
	}
	return nil
}

// ServeHTTP runs a request, or sheds it if all slots are in use.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
	select {
	case e.slots <- struct{}{}:
	default:
		shed(w)
		return
	}
	e.inFlight.Add(1)
	defer func() {
		e.inFlight.Add(-1)
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
	response := Response{
		Endpoint: e.config.ID,
		Service:  e.config.Service,
		Place:    e.config.Place,
		Run:      run,
		Method:   r.Method,
		Target:   r.URL.RequestURI(),
		Body:     string(body),
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

// Response is the JSON body of the response to a request that was run.
type Response struct {
	Endpoint string `json:"endpoint"`
	Service  string `json:"service"`
	Place    string `json:"place"`
	// Run is the number of this run in the endpoint's incarnation, from 1.
	Run    int64  `json:"run"`
	Method string `json:"method"`
	Target string `json:"target"`
	Body   string `json:"body"`
}

// workTime returns the duration of a request that starts now.
func (e *Endpoint) workTime() time.Duration {
	age := time.Since(e.started)
	if age >= e.config.Warmup {
		return e.config.Work
	}
	left := 1 - float64(age)/float64(e.config.Warmup)
	return e.config.Work + time.Duration(left*float64(e.config.Cold))
}

// sleep waits for d and returns true. It returns false as soon as ctx ends or the
// remaining time, in milliseconds, is over. A remaining time that isn't a number is
// ignored.
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

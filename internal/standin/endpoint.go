package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	// listenRetryInterval is the time between attempts to listen on the former
	// address again.
	listenRetryInterval = 10 * time.Millisecond
	loopbackFreePort    = "127.0.0.1:0"
)

// HeldSnapshot lists the ranges of a snapshot that an endpoint holds.
type HeldSnapshot struct {
	Snapshot uint64
	Ranges   []keyrange.Range
}

// EndpointOptions describes one endpoint.
type EndpointOptions struct {
	// ID is the endpoint's ID in the index document.
	ID      string
	Service string
	// Slots is the highest number of requests that run at once; zero means no limit.
	Slots int
	// SlotWait is how long a request waits for a slot before it is refused with
	// code 331 (result.EndpointShed).
	SlotWait time.Duration
	// MaxConnections limits the open connections; zero means no limit.
	MaxConnections int
	// ConnectCost is the delay before the first read from a new connection. It
	// simulates the cost of setting up a connection.
	ConnectCost time.Duration
	// ServiceTime is the mean duration of a request. Durations are distributed
	// uniformly between half of it and one and a half times it.
	ServiceTime time.Duration
	// Address is the IP and port to listen on; empty selects a free port on
	// 127.0.0.1.
	Address       string
	Seed          uint64
	HeldSnapshots []HeldSnapshot
	// Recorder records what ran; nil gives the endpoint its own.
	Recorder *Recorder
	// RecordBodies also records the bodies of requests that ran.
	RecordBodies bool
}

// Endpoint is a simulated back end: an HTTP server that implements the endpoint
// protocol.
type Endpoint struct {
	options EndpointOptions
	faults  atomic.Pointer[Faults]
	held    atomic.Pointer[[]HeldSnapshot]
	slots   chan struct{}
	conns   connections
	running runningRequests

	sequence, requests, started, cancels atomic.Int64
	inFlight, busyNanos, afterLeaving    atomic.Int64
	// leavingSince is the Unix time in nanoseconds when Leaving was set, or zero.
	leavingSince atomic.Int64
	refusedMu    sync.Mutex
	refused      map[result.Code]int64

	mu            sync.Mutex
	address       string
	server        *http.Server
	closed        bool
	relistenTimer *time.Timer
}

// NewEndpoint returns an endpoint that is not started yet.
func NewEndpoint(options EndpointOptions) *Endpoint {
	if options.Recorder == nil {
		options.Recorder = NewRecorder()
	}
	e := &Endpoint{options: options, refused: make(map[result.Code]int64)}
	e.conns.limit = options.MaxConnections
	if options.Slots > 0 {
		e.slots = make(chan struct{}, options.Slots)
	}
	e.faults.Store(&Faults{})
	e.SetHeldSnapshots(options.HeldSnapshots)
	return e
}

// Start listens and serves until Close.
func (e *Endpoint) Start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.options.Address
	if address == "" {
		address = loopbackFreePort
	}
	return e.listen(address)
}

// Address returns the IP and port that the endpoint listens on.
func (e *Endpoint) Address() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.address
}

// ID returns the endpoint's ID.
func (e *Endpoint) ID() string { return e.options.ID }

// Close stops the endpoint and closes its connections.
func (e *Endpoint) Close() {
	e.mu.Lock()
	e.closed = true
	if e.relistenTimer != nil {
		e.relistenTimer.Stop()
	}
	e.mu.Unlock()
	e.stopServer()
}

// SetFaults replaces the faults. Requests that are running keep the faults with
// which they arrived.
func (e *Endpoint) SetFaults(f Faults) {
	before := e.faults.Swap(&f)
	e.updateLeavingSince(before.Leaving, f.Leaving)
	switch {
	case f.Lost && !before.Lost:
		e.stopServer()
	case !f.Lost && before.Lost:
		e.relisten()
	}
}

// Faults returns the faults in force.
func (e *Endpoint) Faults() Faults { return *e.faults.Load() }

// SetHeldSnapshots replaces the snapshots and ranges that the endpoint holds.
func (e *Endpoint) SetHeldSnapshots(held []HeldSnapshot) { e.held.Store(&held) }

// HeldSnapshots returns the snapshots and ranges that the endpoint holds.
func (e *Endpoint) HeldSnapshots() []HeldSnapshot { return *e.held.Load() }

// SilenceConnections makes all open connections silent until they are closed. New
// connections work normally.
func (e *Endpoint) SilenceConnections() {
	for _, c := range e.conns.list() {
		c.silent.Store(true)
	}
}

// SubmitRuns returns how often the submit with the given ID was started.
func (e *Endpoint) SubmitRuns(id string) int { return e.options.Recorder.SubmitRuns(id) }

// listen listens on the address and starts to serve. The caller holds the mutex.
func (e *Endpoint) listen(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrapf(err, "endpoint %s cannot listen", e.options.ID)
	}
	e.address = l.Addr().String()
	e.server = &http.Server{Handler: e.handler(), ConnContext: withConnection}
	go func(s *http.Server) { _ = s.Serve(&listener{Listener: l, endpoint: e}) }(e.server)
	return nil
}

// stopServer closes the listener and resets all connections. It resets them once
// more after the server has closed, for those accepted in between.
func (e *Endpoint) stopServer() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server == nil {
		return
	}
	e.abortConnections()
	_ = server.Close()
	e.abortConnections()
}

func (e *Endpoint) abortConnections() {
	for _, c := range e.conns.list() {
		c.abort()
	}
}

// relisten listens on the former address again. It retries while the address is in
// use.
func (e *Endpoint) relisten() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.server != nil || e.address == "" || e.Faults().Lost {
		return
	}
	if e.listen(e.address) != nil {
		e.relistenTimer = time.AfterFunc(listenRetryInterval, e.relisten)
	}
}

// crash stops the server and starts it again after d.
func (e *Endpoint) crash(d time.Duration) {
	e.stopServer()
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.closed {
		e.relistenTimer = time.AfterFunc(d, e.relisten)
	}
}

// admit wraps an accepted connection. It closes the connection and returns nil if
// the endpoint has reached its limit.
func (e *Endpoint) admit(raw net.Conn) *connection {
	c := &connection{Conn: raw, readDelay: e.options.ConnectCost + e.faults.Load().ConnectCost}
	c.onClose = func() { e.conns.remove(c) }
	if !e.conns.add(c) {
		_ = raw.Close()
		return nil
	}
	return c
}

func (e *Endpoint) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+endpointapi.PathSearch, e.search)
	mux.HandleFunc("POST "+endpointapi.PathSubmit, e.submit)
	mux.HandleFunc("POST "+endpointapi.PathCancel, e.cancel)
	mux.HandleFunc("GET "+endpointapi.PathStatus, e.status)
	return mux
}

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

func withConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

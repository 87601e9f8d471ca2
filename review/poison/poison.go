//go:build review

// Package poison holds the stand-ins of cases 6 to 8: replicas that crash, some when they begin
// to run a certain request, and requesters with addresses of their own.
package poison

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/review/lab"
)

const (
	// lapseAfter is when the store drops the entry of a crashed replica: three heartbeats.
	lapseAfter = 3600 * time.Millisecond
	// fromHost is the field by which requesters tell replicas which host they called.
	fromHost = "Via-Host"
)

// Service is a service of replicas, each of which runs Slots requests at a time.
type Service struct {
	Name  string
	Slots int
	Work  time.Duration
}

// Execution is a request that a replica began to run.
type Execution struct {
	Replica, Request, Via string
	Deadly                bool
	At                    time.Time
}

// Servers are the replicas. One that crashes is back later, with another ID.
type Servers struct {
	Platform *lab.Platform
	Record   *lab.Record
	// DeadlyQuery is the query of the request that crashes the replicas that begin to run it;
	// empty if there is none. BackAfter is when a crashed replica is back, with a new ID.
	DeadlyQuery string
	BackAfter   time.Duration

	started atomic.Int64
	mu      sync.Mutex
	ran     []Execution
	running []*replica
}

// Crash crashes a share of the replicas at one moment.
func (s *Servers) Crash(share float64) {
	s.mu.Lock()
	rand.Shuffle(len(s.running), func(i, j int) { s.running[i], s.running[j] = s.running[j], s.running[i] })
	n := int(share * float64(len(s.running)))
	chosen := s.running[:n:n]
	s.running = append([]*replica(nil), s.running[n:]...)
	s.mu.Unlock()
	for _, r := range chosen {
		r.crash()
	}
}

// Executions returns what replicas began to run.
func (s *Servers) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Execution(nil), s.ran...)
}

// replica runs a number of requests at a time; others wait.
type replica struct {
	id      string
	service Service
	servers *Servers
	server  *http.Server
	slots   chan struct{}
	crashed atomic.Bool
}

// Start starts a replica and registers it.
func (s *Servers) Start(service Service) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	r := &replica{id: fmt.Sprintf("i-%d", s.started.Add(1)), service: service, servers: s, slots: make(chan struct{}, service.Slots)}
	r.server = &http.Server{Handler: r}
	go func() { _ = r.server.Serve(l) }()
	s.mu.Lock()
	s.running = append(s.running, r)
	s.mu.Unlock()
	s.Platform.Put(lab.Names.ReplicaPrefix+r.id, map[string]any{
		"service": service.Name, "address": l.Addr().String(), "zone": "salto", "version": "v1", "slots": service.Slots, "state": "ready",
		lab.Names.ColdRemaining: 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

// crash ends the replica with all of its connections. A replica that crashes sends nothing.
func (r *replica) crash() {
	if r.crashed.Swap(true) {
		return
	}
	r.servers.Record.Line("%s crashes", r.id)
	_ = r.server.Close()
	time.AfterFunc(r.servers.BackAfter, func() { _ = r.servers.Start(r.service) })
	time.AfterFunc(lapseAfter, func() { r.servers.Platform.Delete(lab.Names.ReplicaPrefix + r.id) })
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get(lab.Names.RequestID)
	w.Header().Set(lab.Names.RequestID, id)
	if expected := req.Header.Get(lab.Names.ExpectedInstance); expected != "" && expected != r.id {
		w.Header().Set(lab.Names.NotExecuted, "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case r.slots <- struct{}{}:
	case <-req.Context().Done():
		return
	}
	defer func() { <-r.slots }()
	if r.crashed.Load() {
		panic(http.ErrAbortHandler)
	}
	if r.begin(id, req) {
		r.crash()
		panic(http.ErrAbortHandler)
	}
	work := time.NewTimer(time.Duration(float64(r.service.Work) * (0.5 + rand.Float64())))
	defer work.Stop()
	select {
	case <-work.C:
	case <-req.Context().Done():
		return
	}
	if r.crashed.Load() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(lab.Names.Stamp, r.service.Name+"."+id)
	_, _ = fmt.Fprintf(w, "%016x%016x", rand.Uint64(), rand.Uint64())
}

// begin records that the replica begins to run a request, and reports whether it crashes.
func (r *replica) begin(id string, req *http.Request) bool {
	e := Execution{Replica: r.id, Request: id, Via: req.Header.Get(fromHost), Deadly: r.servers.DeadlyQuery != "" && req.URL.RawQuery == r.servers.DeadlyQuery, At: time.Now()}
	r.servers.mu.Lock()
	r.servers.ran = append(r.servers.ran, e)
	r.servers.mu.Unlock()
	r.servers.Record.Line("%s runs %s from %s", r.id, id, e.Via)
	return e.Deadly && lab.Trouble()
}

// NewClient returns a client that calls from an address, on a new connection each time.
func NewClient(address string) *http.Client {
	dialer := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(address)}}
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext}}
}

// Request is one attempt of a requester.
type Request struct {
	Method, HTTPHost, Target, ID string
	Limit                        time.Duration
}

// Send sends a request to a host and returns the status of the answer, or zero.
func Send(record *lab.Record, client *http.Client, h *lab.Host, r Request) int {
	ctx, cancel := context.WithTimeout(context.Background(), r.Limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, r.Method, "http://"+h.Caller+r.Target, http.NoBody)
	if err != nil {
		return 0
	}
	req.Host = r.HTTPHost
	req.Header.Set(lab.Names.RequestID, r.ID)
	req.Header.Set(lab.Names.Deadline, fmt.Sprint(r.Limit.Milliseconds()))
	req.Header.Set(fromHost, h.Name)
	record.Line("%s is sent to %s: %s", r.ID, h.Name, r.Target)
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		err = errors.Join(err, resp.Body.Close())
	}
	if err != nil {
		record.Line("%s gets no answer: %v", r.ID, err)
		return 0
	}
	record.Line("%s is answered %d by %s", r.ID, resp.StatusCode, h.Name)
	return resp.StatusCode
}

// StartHosts starts hosts and waits until they are ready.
func StartHosts(dir string, platform *lab.Platform, n int) ([]*lab.Host, error) {
	zones := make([]string, n)
	for i := range zones {
		zones[i] = "salto"
	}
	hosts, err := lab.NewHosts(dir, platform.Address, zones)
	if err != nil {
		return nil, err
	}
	for _, h := range hosts {
		if err := h.Start(); err != nil {
			return nil, err
		}
	}
	return hosts, lab.AwaitReady(hosts, 10*time.Second)
}

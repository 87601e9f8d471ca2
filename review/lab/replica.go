//go:build review

package lab

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Run is one request that reached a replica.
type Run struct {
	Replica, Request, Via, Body, Path string
	At                                time.Time
	// Ran is set if the replica began to work on the request.
	Ran bool
	// Completed is set if the replica has written the answer.
	Completed bool
}

// Replica is a server of a service. It runs Slots requests at a time, queues Queue more
// and rejects the others.
type Replica struct {
	ID, Service, Zone string
	Slots, Queue      int
	Work              time.Duration
	// ExtraShare is the share of the answers of which a second copy comes late, at the
	// point where the next answer on the connection is expected.
	ExtraShare atomic.Int64 // in thousandths
	// Deadly tells which paths crash the replica when it begins to run them. Crashed is
	// called then. Both may be nil.
	Deadly   func(path string) bool
	Crashed  func()
	born     int64
	listener net.Listener
	slots    chan struct{}
	inside   atomic.Int64
	extras   atomic.Int64
	mu       sync.Mutex
	runs     []*Run
	conns    map[net.Conn]bool
	ended    bool
}

// NewReplica returns a replica, which listens. Serve begins to serve.
func NewReplica(id, service, zone string, slots, queue int, work time.Duration) (*Replica, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Replica{
		ID: id, Service: service, Zone: zone, Slots: slots, Queue: queue, Work: work, born: time.Now().UnixMilli(),
		listener: l, slots: make(chan struct{}, slots), conns: map[net.Conn]bool{},
	}
	return r, nil
}

// Entry is the replica's entry in the store.
func (r *Replica) Entry(state string) map[string]any {
	return map[string]any{
		"service": r.Service, "address": r.listener.Addr().String(), "zone": r.Zone, "version": "v1", "slots": r.Slots,
		"state": state, Names.ColdRemaining: 0, "sequence": 1, "born": r.born,
	}
}

// Runs returns a copy of what reached the replica so far.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Run, 0, len(r.runs))
	for _, run := range r.runs {
		out = append(out, *run)
	}
	return out
}

// Extras returns the number of second copies that were sent.
func (r *Replica) Extras() int64 { return r.extras.Load() }

// End ends the replica, with all of its connections.
func (r *Replica) End() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = true
	for c := range r.conns {
		_ = c.Close()
	}
}

// Serve accepts connections until the replica ends.
func (r *Replica) Serve() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		r.conns[c] = true
		r.mu.Unlock()
		go func() {
			r.serve(c)
			_ = c.Close()
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
		}()
	}
}

// serve serves the requests of one connection, one at a time.
func (r *Replica) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	var late []byte
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if late != nil {
			r.extras.Add(1)
			if _, err := c.Write(late); err != nil {
				return
			}
			late = nil
		}
		answer := r.handle(req, body)
		if answer == nil {
			return
		}
		if rand.Int64N(1000) < r.ExtraShare.Load() {
			late = answer
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// handle runs or rejects a request and returns the answer, or nil if the replica has
// ended meanwhile.
func (r *Replica) handle(req *http.Request, body []byte) []byte {
	id := req.Header.Get(Names.RequestID)
	if expected := req.Header.Get(Names.ExpectedInstance); expected != "" && expected != r.ID {
		return encode(http.StatusMisdirectedRequest, id, Names.InstanceID, r.ID, nil)
	}
	run := &Run{Replica: r.ID, Request: id, Via: req.Header.Get("Via-Host"), Body: string(body), Path: req.URL.Path, At: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, run)
	r.mu.Unlock()
	if id == "" {
		return encode(http.StatusBadRequest, id, Names.NotExecuted, "1", nil)
	}
	defer r.inside.Add(-1)
	if r.inside.Add(1) > int64(r.Slots+r.Queue) {
		return encode(http.StatusServiceUnavailable, id, Names.NotExecuted, "1", nil)
	}
	limit, _ := strconv.ParseFloat(req.Header.Get(Names.Deadline), 64)
	timer := time.NewTimer(time.Duration(limit * float64(time.Millisecond)))
	defer timer.Stop()
	select {
	case r.slots <- struct{}{}:
	case <-timer.C:
		return encode(http.StatusServiceUnavailable, id, Names.NotExecuted, "1", nil)
	}
	defer func() { <-r.slots }()
	r.mark(func() { run.Ran, run.At = true, time.Now() })
	if r.Deadly != nil && r.Deadly(run.Path) {
		r.End()
		r.Crashed()
		return nil
	}
	time.Sleep(r.Work)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ended {
		return nil
	}
	run.Completed = true
	return encode(http.StatusOK, id, Names.Stamp, r.Service+"."+id, []byte("done "+id))
}

func (r *Replica) mark(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func encode(status int, id, field, value string, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", status, http.StatusText(status), Names.RequestID, id, field, value, len(body))
	b.Write(body)
	return b.Bytes()
}

package standin

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/platformapi"
)

// maxWatchWait bounds a long poll.
const maxWatchWait = 60 * time.Second

// PlatformFaults tells how the platform misbehaves. The zero value has no fault.
type PlatformFaults struct {
	// Unavailable answers every call with status 503.
	Unavailable bool
	// StaleRevision serves the newest manifest up to this revision; zero serves
	// the newest.
	StaleRevision config.Revision
	// Flap answers every other call with status 503.
	Flap bool
	// Torn cuts values in the middle and closes the connection.
	Torn bool
	// Oversized pads values beyond config.MaxValueBytes.
	Oversized bool
	// Slow delays every call.
	Slow time.Duration
}

// PlatformCalls counts calls by path.
type PlatformCalls struct {
	Manifest, Watch, Document, Hosts int64
}

// Total returns the sum of all calls.
func (c PlatformCalls) Total() int64 { return c.Manifest + c.Watch + c.Document + c.Hosts }

// Platform is an HTTP server of the platform's configuration service.
type Platform struct {
	mu        sync.Mutex
	changed   chan struct{}
	faults    PlatformFaults
	revisions []revision
	documents map[string][]byte
	hosts     []platformapi.HostEntry
	calls     PlatformCalls
	sequence  int64
	address   string
	server    *http.Server
}

type revision struct {
	number config.Revision
	data   []byte
}

// NewPlatform returns a platform that holds nothing and is not started yet.
func NewPlatform() *Platform {
	return &Platform{changed: make(chan struct{}), documents: make(map[string][]byte)}
}

// Start listens on a free port of 127.0.0.1 and serves until Close.
func (p *Platform) Start() error { return p.StartAt(loopbackAny) }

// StartAt listens on the given address and serves until Close.
func (p *Platform) StartAt(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "platform cannot listen")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platformapi.PathManifest, p.manifest)
	mux.HandleFunc("GET "+platformapi.PathWatch, p.watch)
	mux.HandleFunc("GET "+platformapi.PathDocument+"{hash}", p.document)
	mux.HandleFunc("GET "+platformapi.PathHosts, p.listHosts)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = l.Addr().String()
	p.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(p.server)
	return nil
}

// Address returns the IP and port that the platform listens on.
func (p *Platform) Address() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.address
}

// Close stops the platform and closes its connections.
func (p *Platform) Close() {
	p.mu.Lock()
	server := p.server
	p.server = nil
	p.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// Publish adds a revision: the manifest's bytes and its documents by hash.
// Documents of earlier revisions stay readable.
func (p *Platform) Publish(manifest []byte, documents map[string][]byte) error {
	m, err := config.ParseManifest(manifest)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.Copy(p.documents, documents)
	p.revisions = append(p.revisions, revision{number: m.Revision, data: slices.Clone(manifest)})
	p.wake()
	return nil
}

// SetHosts replaces the list of hosts.
func (p *Platform) SetHosts(hosts []platformapi.HostEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.hosts = slices.Clone(hosts)
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
	p.wake()
}

// Calls returns how often each path was called.
func (p *Platform) Calls() PlatformCalls {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// wake lets waiting watches look again; the caller holds the mutex.
func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// current returns the manifest in force and the channel that tells of a change.
func (p *Platform) current() (revision, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var newest revision
	for _, r := range p.revisions {
		if p.faults.StaleRevision == 0 || r.number <= p.faults.StaleRevision {
			newest = r
		}
	}
	return newest, p.changed
}

// enter counts a call and applies the faults that refuse or delay it.
func (p *Platform) enter(w http.ResponseWriter, r *http.Request, count *int64) bool {
	p.mu.Lock()
	*count++
	p.sequence++
	f := p.faults
	odd := p.sequence%2 == 1
	p.mu.Unlock()
	if f.Slow > 0 && !sleep(r, f.Slow) {
		return false
	}
	if f.Unavailable || (f.Flap && odd) {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return false
	}
	return true
}

func (p *Platform) manifest(w http.ResponseWriter, r *http.Request) {
	if !p.enter(w, r, &p.calls.Manifest) {
		return
	}
	newest, _ := p.current()
	if newest.data == nil {
		http.NotFound(w, r)
		return
	}
	p.writeValue(w, newest.data)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	if !p.enter(w, r, &p.calls.Watch) {
		return
	}
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMS, waitErr := strconv.ParseInt(r.URL.Query().Get("wait_ms"), 10, 64)
	if err != nil || waitErr != nil || waitMS < 0 {
		http.Error(w, "after and wait_ms must be numbers", http.StatusBadRequest)
		return
	}
	wait := min(time.Duration(waitMS)*time.Millisecond, maxWatchWait)
	p.await(w, r, config.Revision(after), wait)
}

func (p *Platform) await(w http.ResponseWriter, r *http.Request, after config.Revision, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		newest, changed := p.current()
		if newest.number > after {
			p.writeValue(w, newest.data)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (p *Platform) document(w http.ResponseWriter, r *http.Request) {
	if !p.enter(w, r, &p.calls.Document) {
		return
	}
	p.mu.Lock()
	data := p.documents[strings.TrimPrefix(r.URL.Path, platformapi.PathDocument)]
	p.mu.Unlock()
	if data == nil {
		http.NotFound(w, r)
		return
	}
	p.writeValue(w, data)
}

func (p *Platform) listHosts(w http.ResponseWriter, r *http.Request) {
	if !p.enter(w, r, &p.calls.Hosts) {
		return
	}
	p.mu.Lock()
	hosts := platformapi.HostList{Hosts: append([]platformapi.HostEntry{}, p.hosts...)}
	p.mu.Unlock()
	writeJSON(w, http.StatusOK, hosts)
}

func (p *Platform) writeValue(w http.ResponseWriter, data []byte) {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if f.Oversized {
		data = append(slices.Clone(data), make([]byte, config.MaxValueBytes)...)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	if f.Torn {
		data = data[:len(data)/2]
	}
	_, _ = w.Write(data)
}

// sleep waits for d; it reports false if the caller went away first.
func sleep(r *http.Request, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

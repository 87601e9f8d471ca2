package standin

import (
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gypsumlug/gypsumlug/internal/config"
	platform "github.com/gypsumlug/gypsumlug/platform/standin"
)

// PlatformFaults tells how the platform misbehaves. The zero value has no fault.
type PlatformFaults struct {
	// Unavailable answers every call with status 503.
	Unavailable bool
	// StaleRevision publishes the newest manifest up to this revision; zero
	// publishes the newest.
	StaleRevision config.Revision
	// Flap answers every other call with status 503.
	Flap bool
	// Torn cuts answers in the middle and closes the connection.
	Torn bool
	// Oversized pads values beyond config.MaxValueBytes.
	Oversized bool
	// Slow delays every call.
	Slow time.Duration
}

// PlatformCalls counts calls by what they ask for.
type PlatformCalls struct {
	Manifest, Watch, Document int
}

// Total returns the sum of all calls.
func (c PlatformCalls) Total() int { return c.Manifest + c.Watch + c.Document }

// Platform is the platform's store with the product's own configuration in it.
type Platform struct {
	store *platform.Store

	mu        sync.Mutex
	stale     config.Revision
	revisions []revision
	address   string
	server    *http.Server
}

type revision struct {
	number config.Revision
	data   []byte
}

// NewPlatform returns a platform that holds nothing and is not started yet.
func NewPlatform() *Platform { return &Platform{store: platform.NewStore()} }

// Start listens on a free port of 127.0.0.1 and serves until Close.
func (p *Platform) Start() error { return p.StartAt(loopbackFreePort) }

// StartAt listens on the given address and serves until Close.
func (p *Platform) StartAt(address string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "platform cannot listen")
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.address = l.Addr().String()
	p.server = &http.Server{Handler: p.store}
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
	for _, hash := range slices.Sorted(maps.Keys(documents)) {
		p.store.PutDocument(hash, documents[hash])
	}
	p.revisions = append(p.revisions, revision{number: m.Revision, data: slices.Clone(manifest)})
	p.putNewest()
	return nil
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.StaleRevision != p.stale {
		p.stale = f.StaleRevision
		p.putNewest()
	}
	faults := platform.StoreFaults{Flap: f.Flap, Truncate: f.Torn, Delay: f.Slow}
	if f.Unavailable {
		faults.Status = http.StatusServiceUnavailable
	}
	if f.Oversized {
		faults.PadBytes = config.MaxValueBytes
	}
	p.store.SetFaults(faults)
}

// putNewest publishes the newest manifest that the faults let be seen. The caller
// holds the mutex.
func (p *Platform) putNewest() {
	if newest := p.newest(); newest.data != nil {
		p.store.PutManifest(newest.data)
	}
}

// newest returns the newest revision that the faults let be seen. The caller holds
// the mutex.
func (p *Platform) newest() revision {
	var newest revision
	for _, r := range p.revisions {
		if p.stale == 0 || r.number <= p.stale {
			newest = r
		}
	}
	return newest
}

// published returns the revision that can be read, or zero.
func (p *Platform) published() config.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.newest().number
}

// Calls returns how often each kind of value was asked for.
func (p *Platform) Calls() PlatformCalls {
	calls, manifest := p.store.Calls(), p.store.ManifestReads()
	return PlatformCalls{Manifest: manifest, Watch: calls.Watch, Document: calls.Key - manifest}
}

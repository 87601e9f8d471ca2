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

// PlatformFaults selects the faults that the platform injects. The zero value has
// none.
type PlatformFaults struct {
	// Unavailable answers every call with status 503.
	Unavailable bool
	// StaleRevision hides manifests of later revisions; zero hides none.
	StaleRevision config.Revision
	// Flap answers every other call with status 503.
	Flap bool
	// Torn sends only a part of each answer and closes the connection.
	Torn bool
	// Oversized pads values to more than config.MaxValueBytes.
	Oversized bool
	// Slow delays every call.
	Slow time.Duration
}

// PlatformCalls counts calls by kind: reads of the manifest, watches and reads of
// documents.
type PlatformCalls struct {
	Manifest, Watch, Document int
}

// Total returns the sum of all calls.
func (c PlatformCalls) Total() int { return c.Manifest + c.Watch + c.Document }

// Platform is a simulated platform: an HTTP server of a store that holds the
// configuration of gypsumlug.
type Platform struct {
	store *platform.Store

	mu            sync.Mutex
	staleRevision config.Revision
	manifests     []publishedManifest
	address       string
	server        *http.Server
}

// publishedManifest is the encoded manifest of a published revision.
type publishedManifest struct {
	revision config.Revision
	data     []byte
}

// NewPlatform returns a platform with an empty store that is not started yet.
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

// Publish publishes a revision: the encoded manifest and its documents by hash.
// Documents of earlier revisions stay available.
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
	p.manifests = append(p.manifests, publishedManifest{revision: m.Revision, data: slices.Clone(manifest)})
	p.putVisibleManifest()
	return nil
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f PlatformFaults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.StaleRevision != p.staleRevision {
		p.staleRevision = f.StaleRevision
		p.putVisibleManifest()
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

// putVisibleManifest writes the newest manifest that the faults do not hide to the
// store. The caller holds the mutex.
func (p *Platform) putVisibleManifest() {
	if newest := p.visibleManifest(); newest.data != nil {
		p.store.PutManifest(newest.data)
	}
}

// visibleManifest returns the newest manifest that the faults do not hide. The
// caller holds the mutex.
func (p *Platform) visibleManifest() publishedManifest {
	var newest publishedManifest
	for _, m := range p.manifests {
		if p.staleRevision == 0 || m.revision <= p.staleRevision {
			newest = m
		}
	}
	return newest
}

// visibleRevision returns the revision that hosts can read, or zero if there is
// none.
func (p *Platform) visibleRevision() config.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.visibleManifest().revision
}

// Calls returns the number of calls so far by kind.
func (p *Platform) Calls() PlatformCalls {
	calls, manifest := p.store.Calls(), p.store.ManifestReads()
	return PlatformCalls{Manifest: manifest, Watch: calls.Watch, Document: calls.Key - manifest}
}

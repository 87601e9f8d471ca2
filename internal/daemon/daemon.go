package daemon

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/bodymemory"
	"github.com/gypsumlug/gypsumlug/internal/callerconn"
	"github.com/gypsumlug/gypsumlug/internal/configstore"
	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/endpointhttp"
	"github.com/gypsumlug/gypsumlug/internal/peer"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/settings"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
	"github.com/gypsumlug/gypsumlug/internal/version"
	"github.com/gypsumlug/gypsumlug/internal/view"
	"github.com/gypsumlug/gypsumlug/platform"
)

// Daemon runs one host.
type Daemon struct {
	settings    settings.Settings
	options     Options
	log         zerolog.Logger
	clock       clock
	self        view.Host
	counters    *telemetry.Counters
	peerMetrics *metrics.Set

	coordinator *coordinatorLoop
	relay       *relayLoop
	control     *controlLoop
	endpoints   *endpointhttp.Client
	configStore *configstore.Client
	peers       *peer.Client
	peerServer  *peer.Server

	callerServer httpServer
	adminServer  httpServer
	peerListener net.Listener

	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup
	view       atomic.Pointer[view.View]
	// callers bounds what callers make the host hold, and memory the responses of endpoints.
	callers *callerconn.Guard
	memory  *bodymemory.Budget
	// peerEvents passes send results and connection losses of peers to the
	// coordinator in the order in which they happened.
	peerEvents serialQueue
}

// Options change how a host connects to others. The zero value is for production.
type Options struct {
	// Dial opens connections to peers and to the platform; nil means TCP.
	Dial dial.Func
}

// Start opens the listeners and starts the loops of one host. The caller must
// end it with Stop or Kill.
func Start(s settings.Settings, log zerolog.Logger) (*Daemon, error) {
	return StartWith(s, log, Options{})
}

// StartWith is Start with options.
func StartWith(s settings.Settings, log zerolog.Logger, o Options) (*Daemon, error) {
	d := &Daemon{settings: s, options: o, log: log, clock: newClock(), counters: telemetry.NewCounters(), peerMetrics: metrics.NewSet()}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.view.Store(&view.View{Reason: result.NotReady})
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, err
	}
	d.buildComponents()
	if err := d.serve(); err != nil {
		d.Kill()
		return nil, err
	}
	log.Info().Str("peer_address", d.PeerAddress()).Str("caller_address", d.CallerAddress()).Str("admin_address", d.AdminAddress()).
		Str("data_centre", s.DataCentre).Str("version", version.String()).Msg("host started")
	return d, nil
}

// buildComponents creates the loops and the network clients and servers. The
// listeners must be open, since the host's identity contains its peer address.
func (d *Daemon) buildComponents() {
	d.self = view.Host{
		Incarnation: view.Incarnation{Address: d.PeerAddress(), Start: randomStart()},
		DataCentre:  d.settings.DataCentre,
	}
	d.callers = d.newCallerGuard()
	d.memory = bodymemory.BudgetFor(d.settings.MemoryMB, d.callers)
	d.counters.RegisterGauge(telemetry.ResponseMemory, func() float64 { return float64(d.memory.Used()) })
	config := peer.Config{Self: d.PeerAddress(), Metrics: d.peerMetrics, Dial: d.options.Dial}
	serverConfig := config
	serverConfig.Guard = d.newPeerGuard()
	d.configStore = configstore.New(configstore.Options{Stores: d.newStores(), OnCall: d.countPlatformCall})
	d.peers = peer.NewClient(config, d.handlePeerConnectionLost)
	d.peerServer = peer.NewServer(serverConfig, peerHandler{d})
	d.control = newControlLoop(d.clock, d.self, d.settings.Peers, milliseconds(d.settings.StartWaitMS))
	d.control.configStore, d.control.peers, d.control.counters, d.control.publishView = d.configStore, d.peers, d.counters, d.publishView
	d.relay = newRelayLoop(d.clock, d.counters)
	d.endpoints = endpointhttp.New(d.endpointOptions())
	d.relay.endpoints, d.relay.deliverReplies, d.relay.observe = d.endpoints, d.deliverReplies, d.control.observe
	d.coordinator = newCoordinatorLoop(d.clock, d.self.Incarnation, d.counters)
	d.coordinator.transport, d.coordinator.observe = d, d.control.observe
}

// publishView passes a new view to the relay, then to the coordinator, and then to the
// status. The relay comes first, so that it knows every endpoint that the coordinator
// dispatches to, and the status last, so that it shows no view before it is in force.
func (d *Daemon) publishView(v *view.View) {
	d.relay.setView(v)
	d.coordinator.setView(v)
	old := d.view.Swap(v)
	d.logView(old, v)
}

func (d *Daemon) logView(old, v *view.View) {
	if old.Ready != v.Ready || old.Reason != v.Reason {
		d.log.Info().Bool("ready", v.Ready).Stringer("reason", v.Reason).Msg("readiness changed")
	}
	if v.Bundle != nil && (old.Bundle == nil || old.Bundle.Revision != v.Bundle.Revision) {
		d.log.Info().Uint64("revision", uint64(v.Bundle.Revision)).Msg("configuration in force")
	}
}

// Query implements callerapi.Handler.
func (d *Daemon) Query(ctx context.Context, q api.QueryRequest) api.QueryAnswer {
	return d.coordinator.query(ctx, q)
}

// Permit implements callerapi.Handler.
func (d *Daemon) Permit(_ context.Context, p api.PermitRequest) api.PermitAnswer {
	return d.coordinator.issuePermits(p)
}

// Submit implements callerapi.Handler.
func (d *Daemon) Submit(ctx context.Context, s api.SubmitRequest) api.SubmitAnswer {
	return d.coordinator.submit(ctx, s, false)
}

// Status implements callerapi.Handler.
func (d *Daemon) Status() api.StatusAnswer {
	v := d.view.Load()
	s := api.StatusAnswer{Ready: v.Ready, DataCentre: d.settings.DataCentre, Version: version.String()}
	reason := v.Reason
	if v.Ready && d.control.pauseUnnoticed(d.clock.now()) {
		s.Ready, reason = false, result.StaleBelief
	}
	if !s.Ready {
		s.Code, s.Name = reason, reason.String()
	}
	if v.Bundle != nil {
		s.Revision = uint64(v.Bundle.Revision)
	}
	return s
}

// PeerAddress returns the IP and port on which the host serves the peer protocol.
func (d *Daemon) PeerAddress() string { return d.peerListener.Addr().String() }

// CallerAddress returns the IP and port on which the host serves the caller API.
func (d *Daemon) CallerAddress() string { return d.callerServer.address() }

// AdminAddress returns the IP and port on which the host serves the admin API.
func (d *Daemon) AdminAddress() string { return d.adminServer.address() }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// randomStart returns a random number other than zero, which distinguishes this
// incarnation from others at the same address.
func randomStart() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// newRand returns a ChaCha8 generator with a seed from the system's
// cryptographic source.
func newRand() *rand.Rand {
	var seed [32]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewChaCha8(seed))
}

// newStores returns one client of the platform's store for each address in the
// settings.
func (d *Daemon) newStores() []configstore.Store {
	out := make([]configstore.Store, 0, len(d.settings.Platform))
	for _, base := range d.settings.Platform {
		address := strings.TrimPrefix(strings.TrimSuffix(base, "/"), "http://")
		out = append(out, platform.NewConfigStore(platform.NewStore(address, d.clock.now, d.options.Dial)))
	}
	return out
}

// httpServer is a listener and the HTTP server that accepts its connections.
type httpServer struct {
	listener net.Listener
	server   *http.Server
}

func (h *httpServer) address() string { return h.listener.Addr().String() }

// close closes every connection at once.
func (h *httpServer) close() {
	if h.server != nil {
		_ = h.server.Close()
	}
}

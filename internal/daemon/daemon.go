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

// Daemon is one running host.
type Daemon struct {
	settings settings.Settings
	options  Options
	log      zerolog.Logger
	clock    clock
	self     view.Host
	counters *telemetry.Counters
	peerSet  *metrics.Set

	coordinator *coordinatorLoop
	relay       *relayLoop
	control     *controlLoop
	endpoints   *endpointhttp.Client
	published   *configstore.Client
	peers       *peer.Client
	peerServer  *peer.Server

	callers httpServer
	admin   httpServer
	peerL   net.Listener

	ctx     context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
	view    atomic.Pointer[view.View]
	// peerEvents keeps the order in which messages to a peer were written and
	// its connection broke.
	peerEvents serial
}

// Options change how a host reaches others. The zero value is for production.
type Options struct {
	// Dial opens connections to peers and to the platform; nil means TCP.
	Dial dial.Func
}

// Start opens the listeners and starts the loops of one host. The caller ends
// it with Stop or Kill.
func Start(s settings.Settings, log zerolog.Logger) (*Daemon, error) {
	return StartWith(s, log, Options{})
}

// StartWith is Start with options.
func StartWith(s settings.Settings, log zerolog.Logger, o Options) (*Daemon, error) {
	d := &Daemon{settings: s, options: o, log: log, clock: newClock(), counters: telemetry.NewCounters(), peerSet: metrics.NewSet()}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.view.Store(&view.View{Reason: result.NotReady})
	if err := d.listen(); err != nil {
		d.closeListeners()
		return nil, err
	}
	d.build()
	if err := d.serve(); err != nil {
		d.Kill()
		return nil, err
	}
	log.Info().Str("peer_address", d.PeerAddress()).Str("caller_address", d.CallerAddress()).Str("admin_address", d.AdminAddress()).
		Str("data_centre", s.DataCentre).Str("version", version.String()).Msg("host started")
	return d, nil
}

// build makes the loops and adapters; the listeners are open.
func (d *Daemon) build() {
	d.self = view.Host{
		Incarnation: view.Incarnation{Address: d.PeerAddress(), Start: randomStart()},
		DataCentre:  d.settings.DataCentre,
	}
	config := peer.Config{Self: d.PeerAddress(), Metrics: d.peerSet, Dial: d.options.Dial}
	d.published = configstore.New(configstore.Options{Stores: d.stores(), OnCall: d.countPlatformCall})
	d.peers = peer.NewClient(config, d.peerBroken)
	d.peerServer = peer.NewServer(config, peerHandler{d})
	d.control = newControlLoop(d.clock, d.self, d.settings.Peers, milliseconds(d.settings.StartWaitMS))
	d.control.published, d.control.peers, d.control.counters, d.control.publish = d.published, d.peers, d.counters, d.publish
	d.relay = newRelayLoop(d.clock, d.counters)
	d.endpoints = endpointhttp.New(d.endpointOptions())
	d.relay.endpoints, d.relay.deliver, d.relay.observe = d.endpoints, d.deliver, d.control.observe
	d.coordinator = newCoordinatorLoop(d.clock, d.self.Incarnation, d.counters)
	d.coordinator.carrier, d.coordinator.observe = d, d.control.observe
}

// publish hands a view to traffic, to the relay first, so that it knows every
// endpoint that the coordinator dispatches to.
func (d *Daemon) publish(v *view.View) {
	old := d.view.Swap(v)
	d.relay.setView(v)
	d.coordinator.setView(v)
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
	return d.coordinator.mint(p)
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
	if v.Ready && d.control.paused(d.clock.now()) {
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

// PeerAddress returns the IP and port of the peer protocol.
func (d *Daemon) PeerAddress() string { return d.peerL.Addr().String() }

// CallerAddress returns the IP and port of the caller API.
func (d *Daemon) CallerAddress() string { return d.callers.address() }

// AdminAddress returns the IP and port of the admin API.
func (d *Daemon) AdminAddress() string { return d.admin.address() }

func milliseconds(n int) time.Duration { return time.Duration(n) * time.Millisecond }

// randomStart returns the random number that tells incarnations apart.
func randomStart() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// newRand returns a cryptographic random source.
func newRand() *rand.Rand {
	var seed [32]byte
	_, _ = crand.Read(seed[:])
	return rand.New(rand.NewChaCha8(seed))
}

// stores returns a client of the platform's store for each of its addresses.
func (d *Daemon) stores() []configstore.Store {
	out := make([]configstore.Store, 0, len(d.settings.Platform))
	for _, base := range d.settings.Platform {
		address := strings.TrimPrefix(strings.TrimSuffix(base, "/"), "http://")
		out = append(out, platform.NewConfigStore(platform.NewStore(address, d.clock.now, d.options.Dial)))
	}
	return out
}

// httpServer is a listener and the server on it.
type httpServer struct {
	listener net.Listener
	server   *http.Server
}

func (h *httpServer) address() string { return h.listener.Addr().String() }

// close cuts every connection.
func (h *httpServer) close() {
	if h.server != nil {
		_ = h.server.Close()
	}
}

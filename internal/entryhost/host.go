// Package entryhost wires one entry host on the users' platform: the gateway, its
// connections to replicas, the readers of the store, the listeners, and the
// planned stop.
package entryhost

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/gypsumlug/gypsumlug/internal/boottime"
	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/discoveryagent"
	"github.com/gypsumlug/gypsumlug/internal/forward"
	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/peerlink"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
	"github.com/gypsumlug/gypsumlug/internal/version"
	"github.com/gypsumlug/gypsumlug/platform"
)

const (
	// leastHosts is the number of hosts that share limits while fewer are known.
	leastHosts = 8
	// connectionShare is the part of a replica's connection cap that the hosts
	// use together.
	connectionShare = 0.9
	// balancerLag is the time in which the balancer learns that a host is not
	// ready: two checks of a second, and a reserve.
	balancerLag = 2500 * time.Millisecond
	// stopReserve is the part of the grace that is kept for the exit.
	stopReserve = 500 * time.Millisecond
	// answerReserve is the part of the grace, before the reserve, in which requests
	// that have no answer yet get their final one.
	answerReserve = 300 * time.Millisecond
	// warmWait is the time for first connections before the host is ready.
	warmWait = 600 * time.Millisecond
)

// Host is one entry host.
type Host struct {
	settings atomic.Pointer[Settings]
	log      zerolog.Logger
	counters *telemetry.Counters
	started  time.Time
	// incarnation tells this process from those before it on the host.
	incarnation uint64
	rng         *mathrand.Rand
	gateway     *gateway.Gateway
	client      *forward.Client
	peers       *peerlink.Client
	keeper      *discoveryagent.Agent
	ready       atomic.Bool
	stopping    atomic.Bool
	warmed      sync.Once
	// configured is when the configuration in force came, as the time since the
	// start.
	configured atomic.Int64
}

// New returns a host that does not run yet.
func New(s *Settings, log zerolog.Logger, counters *telemetry.Counters) (*Host, error) {
	var seed [32]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, eris.Wrap(err, "random seed")
	}
	incarnation := binary.LittleEndian.Uint64(seed[:])
	log = log.With().Str("host", s.Host).Logger()
	h := &Host{
		log:         log,
		counters:    counters,
		started:     time.Now(),
		incarnation: incarnation,
		rng:         newRand(seed[8:]),
	}
	h.settings.Store(s)
	recorder := newRecorder(log, h.counters, h.now)
	h.peers = peerlink.NewClient(dial.TCP)
	h.client = forward.New(platform.Dialect{}, dial.TCP, recorder)
	h.gateway = gateway.New(gateway.Config{
		DataCentre:  s.DataCentre,
		Incarnation: incarnation,
		Tuning:      s.tuning(),
		Now:         h.now,
		Sender:      h.client,
		Self:        s.self(),
		Peers:       partClient{h.peers},
		Recorder:    recorder,
	}, newRand(seed[16:]))
	h.keeper = h.newKeeper()
	h.addGauges()
	return h, nil
}

// addGauges serves how old the host's beliefs are.
func (h *Host) addGauges() {
	for name, read := range map[string]func(v *routing.View) float64{
		telemetry.ConfigurationVersion: func(v *routing.View) float64 { return float64(v.Config.Version) },
		telemetry.ConfigurationAge:     func(*routing.View) float64 { return (h.now() - time.Duration(h.configured.Load())).Seconds() },
		telemetry.ViewAge:              func(v *routing.View) float64 { return (h.now() - v.ReadAt).Seconds() },
		telemetry.ViewReplicas:         func(v *routing.View) float64 { return float64(len(v.Replicas)) },
	} {
		h.counters.RegisterGauge(name, func() float64 {
			if v := h.gateway.View(); v != nil && v.Config != nil {
				return read(v)
			}
			return 0
		})
	}
}

func newRand(seed []byte) *mathrand.Rand {
	return mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed), binary.LittleEndian.Uint64(seed[8:])))
}

// partClient asks other hosts for parts of queries.
type partClient struct{ peers *peerlink.Client }

// RequestPart implements gateway.PeerClient.
func (p partClient) RequestPart(ctx context.Context, address string, r *split.Request) (*split.Reply, error) {
	reply, err := p.peers.Call(ctx, address, &peerlink.Request{Format: discovery.FormatVersion, Part: r})
	if errors.Is(err, peerlink.ErrNotSent) {
		return nil, gateway.ErrNotAccepted
	}
	if err != nil {
		return nil, err
	}
	return reply.Part, nil
}

// now returns the monotonic time since the start of the process.
func (h *Host) now() time.Duration { return time.Since(h.started) }

// Run serves until stop is closed, and then drains.
func (h *Host) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := net.Listen("tcp", h.settings.Load().CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if err := h.serveInternal(); err != nil {
		return err
	}
	served := &callers{limits: h.limits, unreadable: func() { h.gateway.Refuse("", result.RequestUnreadable) }}
	server := served.server(&platform.Ingress{Gateway: h.gateway, Closing: h.stopping.Load}, platform.ConnContext)
	go func() { _ = server.Serve(served.listener(listener)) }()
	go func() {
		if err := h.keeper.Run(ctx); err != nil {
			h.log.Error().Err(err).Msg("peers not served")
		}
	}()
	h.log.Info().Str("data_centre", h.settings.Load().DataCentre).Str("version", version.String()).Msg("started")
	<-stop
	h.keeper.Leave(ctx)
	return h.drain(server)
}

// limits returns what callers are held to.
func (h *Host) limits() routing.Limits {
	v := h.gateway.View()
	if v == nil || v.Config == nil {
		return defaultLimits
	}
	limits := v.Config.Limits
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = defaultLimits.HeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = defaultLimits.IdleTimeout
	}
	return limits
}

func (h *Host) newKeeper() *discoveryagent.Agent {
	began := boottime.Now() - h.now()
	now := func() time.Duration { return boottime.Now() - began }
	s := h.settings.Load()
	self := discovery.Member{Address: s.PeerAddress, DataCentre: s.DataCentre, Start: h.incarnation, CPUPercent: s.self().CPUPercent}
	machine := discovery.NewMachine(self, s.Seeds, now(), h.rng)
	return discoveryagent.New(discoveryagent.Options{
		PeerAddress:    s.PeerAddress,
		Start:          h.incarnation,
		Store:          platform.NewStore(s.StoreAddress, now, nil),
		Now:            now,
		Publish:        h.publish,
		PublishPeers:   h.publishPeers,
		PeerClient:     h.peers,
		AnswerPart:     h.gateway.ServePart,
		Suspects:       h.gateway.SuspectHints,
		RecordSuspects: h.gateway.MergeSuspectHints,
		Log:            h.log,
	}, machine)
}

// serveInternal serves readiness and metrics.
func (h *Host) serveInternal() error {
	readiness, err := net.Listen("tcp", h.settings.Load().ReadinessAddress)
	if err != nil {
		return eris.Wrap(err, "listen for readiness")
	}
	s := h.settings.Load()
	ip, _ := netip.ParseAddrPort(s.PeerAddress)
	metrics, err := net.Listen("tcp", netip.AddrPortFrom(ip.Addr(), uint16(s.InternalPorts[1])).String())
	if err != nil {
		return eris.Wrap(err, "listen for metrics")
	}
	go func() { _ = http.Serve(readiness, platform.ReadinessHandler(h.isReady)) }()
	go func() {
		_ = http.Serve(metrics, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { h.counters.Write(w) }))
	}()
	return nil
}

func (h *Host) isReady() bool { return h.ready.Load() && !h.stopping.Load() }

// publish puts a view in force. The first one makes the host ready, once it has
// connections.
func (h *Host) publish(v *routing.View, hosts int) {
	if old := h.gateway.View(); v.Config != nil && (old == nil || old.Config == nil || old.Config.Version != v.Config.Version) {
		h.configured.Store(int64(h.now()))
	}
	h.gateway.SetHosts(max(hosts, leastHosts))
	h.client.SetTargets(h.targets(v))
	h.gateway.SetView(v)
	h.warmed.Do(func() { time.AfterFunc(warmWait, h.becomeReady) })
}

// publishPeers takes the other hosts. The replicas that this host keeps
// connections to depend on them.
func (h *Host) publishPeers(peers []split.Peer) {
	h.gateway.SetPeers(peers)
	if v := h.gateway.View(); v != nil {
		h.client.SetTargets(h.targets(v))
	}
}

// becomeReady takes requests once the first connections had time to open.
func (h *Host) becomeReady() {
	h.ready.Store(true)
	h.log.Info().Dur("after_ms", h.now()).Msg("ready")
}

// targets returns this host's connections to the replicas of a view. A host that
// does not keep connections to a service may open one when it needs it.
func (h *Host) targets(v *routing.View) []forward.Target {
	targets := make([]forward.Target, 0, len(v.Replicas))
	sharings := h.gateway.ConnectingHosts(v)
	for key, r := range v.Replicas {
		s := sharings[r.Service]
		most := 1
		if s.IncludesSelf {
			most = connections(v.Config.Services[r.Service].MaxConnections, s.Count)
		}
		targets = append(targets, forward.Target{Key: key, Address: r.Address, KeepIdle: s.IncludesSelf, MaxConnections: most})
	}
	return targets
}

// connections returns one host's share of the connections to a replica. Each host
// may have one, even if that passes the cap in all.
func connections(limit, hosts int) int {
	return max(int(float64(limit)*connectionShare/float64(hosts)), 1)
}

// drain stops the host: it is no longer ready, serves on until the balancer
// knows, closes the listener, and waits for the requests in progress.
func (h *Host) drain(server *http.Server) error {
	deadline := time.Now().Add(h.settings.Load().Grace() - stopReserve)
	h.stopping.Store(true)
	h.log.Info().Int("running", h.gateway.Running()).Msg("stopping")
	time.Sleep(min(balancerLag, time.Until(deadline)/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	end := time.AfterFunc(time.Until(deadline.Add(-answerReserve)), h.gateway.Stop)
	defer end.Stop()
	err := server.Shutdown(ctx)
	h.log.Info().Int("running", h.gateway.Running()).AnErr("error", err).Msg("stopped")
	return nil
}

// Package entryhost assembles an entry host, a process that serves callers on the
// users' platform: the gateway, its connections to replicas, discovery, the listeners
// and graceful shutdown.
package entryhost

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	mathrand "math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/gypsumlug/gypsumlug/internal/bodymemory"
	"github.com/gypsumlug/gypsumlug/internal/boottime"
	"github.com/gypsumlug/gypsumlug/internal/callerbudget"
	"github.com/gypsumlug/gypsumlug/internal/callerconn"
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
	// minHosts is the number of hosts among which limits are divided if fewer are known.
	minHosts = 8
	// warmupDelay is the time for opening the first connections before the host becomes
	// ready.
	warmupDelay = 600 * time.Millisecond
)

// Host is one entry host.
type Host struct {
	settings atomic.Pointer[Settings]
	log      zerolog.Logger
	counters *telemetry.Counters
	started  time.Time
	// incarnation is a random number that distinguishes this process from earlier ones
	// on the same host.
	incarnation uint64
	rng         *mathrand.Rand
	gateway     *gateway.Gateway
	client      *forward.Client
	peers       *peerlink.Client
	agent       *discoveryagent.Agent
	traffic     *trafficRecorder
	// callers bounds what callers make the host hold.
	callers  *callerconn.Guard
	ready    atomic.Bool
	stopping atomic.Bool
	// isolated is set while the data centre appears to be cut off from all others.
	isolated atomic.Bool
	warmup   sync.Once
	// configuredAt is when the current configuration was installed, as a duration since
	// the start of the process.
	configuredAt atomic.Int64
}

// New returns a host. Run starts it.
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
	h.traffic = &trafficRecorder{counters: counters.NewTraffic(), dataCentre: s.DataCentre, view: func() *routing.View { return h.gateway.View() }}
	h.callers = callerconn.NewGuard(callerbudget.LimitsFor(s.MemoryMB, s.OpenFiles), recorder.callerEvent)
	h.peers = peerlink.NewClient(dial.TCP)
	h.peers.OnTransfer = h.traffic.peerRequest
	memory := bodymemory.BudgetFor(s.MemoryMB, h.callers)
	h.counters.RegisterGauge(telemetry.CallerMemory, func() float64 { return float64(h.callers.Used()) })
	h.counters.RegisterGauge(telemetry.CallerConnections, func() float64 { return float64(h.callers.Connections()) })
	h.counters.RegisterGauge(telemetry.ResponseMemory, func() float64 { return float64(memory.Used()) })
	h.client = forward.New(platform.ReplicaCodec{}, dial.TCP, recorder, memory)
	h.client.OnTransfer = h.traffic.attempt
	h.gateway = gateway.New(gateway.Config{
		DataCentre:  s.DataCentre,
		Incarnation: incarnation,
		Tuning:      s.tuning(),
		Now:         h.now,
		Sender:      h.client,
		Self:        s.asPeer(),
		Peers:       partClient{h.peers},
		Recorder:    recorder,
		Memory:      memory,
	}, newRand(seed[16:]))
	h.agent = h.newAgent()
	h.addGauges()
	h.counters.RegisterGauge(telemetry.DataCentresOutOfReach, func() float64 { return float64(len(h.gateway.OutOfReach())) })
	h.counters.RegisterGauge(telemetry.RampingReplicas, func() float64 { return float64(h.gateway.RampingReplicas()) })
	h.counters.RegisterGauge(telemetry.LossyReplicas, func() float64 { return float64(h.gateway.LossyReplicas()) })
	return h, nil
}

// addGauges registers gauges for the version and age of the configuration and for the
// age and size of the view. They are 0 as long as there is no configuration.
func (h *Host) addGauges() {
	for name, read := range map[string]func(v *routing.View) float64{
		telemetry.ConfigurationVersion: func(v *routing.View) float64 { return float64(v.Config.Version) },
		telemetry.ConfigurationAge:     func(*routing.View) float64 { return (h.now() - time.Duration(h.configuredAt.Load())).Seconds() },
		telemetry.ViewAge:              func(v *routing.View) float64 { return (h.now() - v.ReadAt).Seconds() },
		telemetry.ColdReplicas:         func(*routing.View) float64 { return float64(h.gateway.ColdReplicas()) },
		telemetry.EvacuatedDataCentres: func(v *routing.View) float64 { return float64(len(v.EvacuatedDataCentres())) },
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

// partClient requests parts of queries from other hosts.
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

// peerEvent counts that a connection of another host was refused or given up.
func (h *Host) peerEvent(e callerconn.Event) { h.counters.Inc(telemetry.PeerEventName(string(e))) }

// now returns the monotonic time since the start of the process.
func (h *Host) now() time.Duration { return time.Since(h.started) }

// Run serves requests until stop is closed, and then shuts down gracefully. It returns an
// error at once if it cannot listen on one of its addresses.
func (h *Host) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := net.Listen("tcp", h.settings.Load().CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if err := h.agent.Listen(); err != nil {
		_ = listener.Close()
		return err
	}
	if err := h.serveInternal(); err != nil {
		return err
	}
	callers := &callerServer{limits: h.limits, guard: h.callers, onUnreadable: func(code result.Code) { h.gateway.Refuse("", code) }}
	server := callers.newHTTPServer(&platform.Ingress{Gateway: h.gateway, Closing: h.stopping.Load}, platform.ConnContext)
	go func() { _ = server.Serve(callers.wrapListener(listener)) }()
	go h.agent.Run(ctx)
	go h.logReplicaHealth(ctx)
	h.log.Info().Str("data_centre", h.settings.Load().DataCentre).Str("version", version.String()).Msg("started")
	<-stop
	h.agent.Leave(ctx)
	return h.drain(server)
}

// limits returns the limits for callers: those of the configuration, and the defaults
// for timeouts that it does not set.
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

func (h *Host) newAgent() *discoveryagent.Agent {
	startedAt := boottime.Now() - h.now()
	now := func() time.Duration { return boottime.Now() - startedAt }
	s := h.settings.Load()
	self := discovery.Member{Address: s.PeerAddress, DataCentre: s.DataCentre, Start: h.incarnation, CPUPercent: s.asPeer().CPUPercent}
	machine := discovery.NewMachine(self, s.Seeds, now(), h.rng)
	store := platform.NewStore(s.StoreAddress, now, nil)
	store.OnTransfer = h.traffic.storeCall
	return discoveryagent.New(discoveryagent.Options{
		PeerAddress:      s.PeerAddress,
		Start:            h.incarnation,
		Store:            store,
		Now:              now,
		Publish:          h.publish,
		PublishPeers:     h.publishPeers,
		PublishIsolation: h.publishIsolation,
		HeardFrom:        h.gateway.HeardFrom,
		PeerClient:       h.peers,
		PeerGuard:        callerconn.NewGuard(callerbudget.PeerLimitsFor(s.MemoryMB, s.OpenFiles), h.peerEvent),
		AnswerPart:       h.gateway.ServePart,
		Suspects:         h.gateway.SuspectHints,
		RecordSuspects:   h.gateway.MergeSuspectHints,
		RateLimits:       h.gateway.RateLimitHints,
		RecordRateLimits: h.gateway.MergeRateLimitHints,
		Leaving:          h.gateway.LeavingHints,
		RecordLeaving:    h.gateway.MergeLeavingHints,
		Failures:         h.gateway.FailureHints,
		RecordFailures:   h.gateway.MergeFailureHints,
		Overload:         h.gateway.OverloadHints,
		RecordOverload:   h.gateway.MergeOverloadHints,
		News:             h.gateway.News,
		RecordNews:       h.gateway.MergeNews,
		EvacuationBound:  h.evacuationBound,
		CountDifference:  func() { h.counters.Inc(telemetry.ReplicaDifferences) },
		CountHeartbeat:   h.traffic.heartbeat,
		CountEpoch:       func() { h.counters.Inc(telemetry.StoreEpochs) },
		Log:              h.log,
	}, machine)
}

// evacuationBound returns the time within which hosts must send nothing more to a data
// centre that is evacuated, or zero if there is no such bound.
func (h *Host) evacuationBound() time.Duration {
	if ms := h.settings.Load().EvacuationMS; ms != nil {
		return time.Duration(*ms * float64(time.Millisecond))
	}
	return 0
}

// updateAdmissionMetrics sets the metrics of the admission of each index.
func (h *Host) updateAdmissionMetrics() {
	for _, s := range h.gateway.Admission() {
		name := func(metric string) string { return telemetry.RouteMetricName(metric, s.Route) }
		h.counters.SetCounter(name(telemetry.QueriesAdmitted), s.AdmittedTotal)
		h.counters.SetCounter(name(telemetry.QueriesQueued), s.QueuedTotal)
		h.counters.SetGauge(name(telemetry.AdmissionLimit), s.Admitted)
		h.counters.SetGauge(name(telemetry.QueriesInHand), float64(s.InHand))
		h.counters.SetGauge(name(telemetry.QueriesWaiting), float64(s.Waiting))
	}
}

// isReady reports whether callers should be sent to this host. They should not while its
// data centre is cut off and can't serve them alone. Wide queries that the load balancer
// sends nonetheless are refused at once.
func (h *Host) isReady() bool {
	if !h.ready.Load() || h.stopping.Load() {
		return false
	}
	if !h.gateway.ReachesEnough() {
		return false
	}
	return !h.isolated.Load() || h.gateway.View().ServesAlone(h.settings.Load().DataCentre)
}

// publish installs a view and the number of hosts among which limits are divided. After
// the first view, the host becomes ready when the warmup delay has passed.
func (h *Host) publish(v *routing.View, hosts int) {
	if old := h.gateway.View(); v.Config != nil && (old == nil || old.Config == nil || old.Config.Version != v.Config.Version) {
		h.configuredAt.Store(int64(h.now()))
	}
	h.gateway.SetHosts(max(hosts, minHosts))
	// Attempts that end with their connections must not be taken for crashes, and a replica
	// that is cold must be known as such before this host connects to it.
	h.gateway.SetEvacuated(v.EvacuatedDataCentres())
	h.gateway.SetCold(v)
	h.setTargets(v)
	h.gateway.SetView(v)
	h.warmup.Do(func() { time.AfterFunc(warmupDelay, h.markReady) })
}

// publishPeers sets the other hosts and updates the connections, since it depends on
// the hosts which replicas this host keeps connections to.
func (h *Host) publishPeers(peers []split.Peer) {
	h.gateway.SetPeers(peers)
	h.traffic.setPeers(peers)
	if v := h.gateway.View(); v != nil {
		h.setTargets(v)
	}
}

// publishIsolation records whether the data centre is cut off from all others.
func (h *Host) publishIsolation(isolated bool) {
	h.isolated.Store(isolated)
	h.gateway.SetIsolated(isolated)
}

// markReady makes the host ready for requests.
func (h *Host) markReady() {
	h.ready.Store(true)
	h.log.Info().Dur("after_ms", h.now()).Msg("ready")
}

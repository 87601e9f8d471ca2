// Package entryhost wires one entry host on the users' platform: the gateway, its
// connections to replicas, the readers of the store, the listeners, and the
// planned stop.
package entryhost

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/gypsumlug/gypsumlug/internal/balance"
	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/forward"
	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
	"github.com/gypsumlug/gypsumlug/platform"
)

const (
	// assumedHosts shares limits among hosts until the others are known.
	assumedHosts = 16
	// connectionShare is the part of a replica's connection cap that the hosts
	// use together.
	connectionShare = 0.9
	// balancerLag is the time in which the balancer learns that a host is not
	// ready: two checks of a second, and a reserve.
	balancerLag = 2500 * time.Millisecond
	// stopReserve is the part of the grace that is kept for the exit.
	stopReserve = 500 * time.Millisecond
	// warmWait bounds the time for first connections.
	warmWait = 3 * time.Second
)

// Host is one entry host.
type Host struct {
	settings *Settings
	log      zerolog.Logger
	counters *telemetry.Counters
	started  time.Time
	gateway  *gateway.Gateway
	client   *forward.Client
	ready    atomic.Bool
	stopping atomic.Bool
	warmed   sync.Once
}

// New returns a host that does not run yet.
func New(s *Settings, log zerolog.Logger) (*Host, error) {
	var seed [24]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, eris.Wrap(err, "random seed")
	}
	incarnation := binary.LittleEndian.Uint64(seed[:])
	rng := mathrand.New(mathrand.NewPCG(binary.LittleEndian.Uint64(seed[8:]), binary.LittleEndian.Uint64(seed[16:])))
	h := &Host{settings: s, log: log, counters: telemetry.NewCounters(), started: time.Now()}
	recorder := &recorder{log: log, counters: h.counters}
	h.client = forward.New(platform.Dialect{}, dial.TCP, recorder)
	h.gateway = gateway.New(gateway.Config{
		DataCentre:  s.DataCentre,
		Incarnation: incarnation,
		Allowance:   balance.Allowance{Ratio: s.ExtraRatio, Slack: s.ExtraSlack},
		Now:         h.now,
		Sender:      h.client,
		Recorder:    recorder,
	}, rng)
	return h, nil
}

// now returns the monotonic time since the start of the process.
func (h *Host) now() time.Duration { return time.Since(h.started) }

// Run serves until stop is closed, and then drains.
func (h *Host) Run(stop <-chan struct{}) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	callers, err := net.Listen("tcp", h.settings.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	if err := h.serveInternal(); err != nil {
		return err
	}
	server := &http.Server{
		Handler:           &platform.Ingress{Gateway: h.gateway, Closing: h.stopping.Load},
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       time.Minute,
		MaxHeaderBytes:    32 << 10,
	}
	go func() { _ = server.Serve(callers) }()
	keeper := discovery.New(discovery.Options{
		Store:   platform.NewStore(h.settings.StoreAddress, h.now),
		Now:     h.now,
		Publish: h.publish,
		Log:     h.log,
	})
	go keeper.Run(ctx)
	h.log.Info().Str("host", h.settings.Host).Str("data_centre", h.settings.DataCentre).Msg("started")
	<-stop
	return h.drain(server)
}

// serveInternal serves readiness and metrics.
func (h *Host) serveInternal() error {
	readiness, err := net.Listen("tcp", h.settings.ReadinessAddress)
	if err != nil {
		return eris.Wrap(err, "listen for readiness")
	}
	ip, _ := netip.ParseAddrPort(h.settings.PeerAddress)
	metrics, err := net.Listen("tcp", netip.AddrPortFrom(ip.Addr(), uint16(h.settings.InternalPorts[1])).String())
	if err != nil {
		return eris.Wrap(err, "listen for metrics")
	}
	go func() { _ = http.Serve(readiness, platform.Readiness(h.isReady)) }()
	go func() {
		_ = http.Serve(metrics, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { h.counters.Write(w) }))
	}()
	return nil
}

func (h *Host) isReady() bool { return h.ready.Load() && !h.stopping.Load() }

// publish puts a view in force. The first one makes the host ready, once it has
// connections.
func (h *Host) publish(v *routing.View) {
	h.client.SetTargets(h.targets(v))
	h.gateway.SetView(v, assumedHosts)
	h.warmed.Do(func() { go h.warm() })
}

func (h *Host) warm() {
	done := make(chan struct{})
	go func() {
		h.client.Warm()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(warmWait):
	}
	h.ready.Store(true)
	h.log.Info().Dur("after_ms", h.now()).Msg("ready")
}

func (h *Host) targets(v *routing.View) []forward.Target {
	targets := make([]forward.Target, 0, len(v.Replicas))
	for key, r := range v.Replicas {
		limit := v.Config.Services[r.Service].MaxConnections
		targets = append(targets, forward.Target{
			Key:            key,
			Address:        r.Address,
			MaxConnections: max(int(float64(limit)*connectionShare/assumedHosts), 2),
		})
	}
	return targets
}

// drain stops the host: it is no longer ready, serves on until the balancer
// knows, closes the listener, and waits for the requests in progress.
func (h *Host) drain(server *http.Server) error {
	deadline := time.Now().Add(h.settings.Grace() - stopReserve)
	h.stopping.Store(true)
	h.log.Info().Int("running", h.gateway.Running()).Msg("stopping")
	time.Sleep(min(balancerLag, time.Until(deadline)/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	err := server.Shutdown(ctx)
	h.log.Info().Int("running", h.gateway.Running()).AnErr("error", err).Msg("stopped")
	return nil
}

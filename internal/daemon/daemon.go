package daemon

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/callerapi"
	"github.com/gypsumlug/gypsumlug/internal/coordinator"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpointhttp"
	"github.com/gypsumlug/gypsumlug/internal/platform"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/settings"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Version is the version of the daemon.
const Version = "0.1.0"

// Daemon is one running host.
type Daemon struct {
	settings settings.Settings
	log      zerolog.Logger
	clock    clock
	self     view.Host
	counters *telemetry.Counters

	coordinator *coordinatorLoop
	endpoints   *endpointhttp.Client
	platform    *platform.Client

	callerListener net.Listener
	callerServer   *http.Server

	cancel  context.CancelFunc
	running sync.WaitGroup

	viewMu sync.RWMutex
	view   *view.View
}

// Start opens the listeners and starts the loops of one host. The caller ends
// it with Stop.
func Start(s settings.Settings, log zerolog.Logger) (*Daemon, error) {
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		settings: s,
		log:      log,
		clock:    newClock(),
		counters: telemetry.NewCounters(),
		cancel:   cancel,
		view:     &view.View{Reason: result.NotReady},
	}
	d.self = view.Host{
		Incarnation: view.Incarnation{Address: s.PeerAddress, Start: randomStart()},
		DataCentre:  s.DataCentre,
	}
	d.endpoints = endpointhttp.New(endpointhttp.Options{})
	d.platform = platform.New(platform.Options{Addresses: platformAddresses(s.Platform)})
	d.coordinator = d.newCoordinator()
	if err := d.listen(); err != nil {
		cancel()
		return nil, err
	}
	d.running.Go(func() { d.coordinator.run(ctx) })
	d.running.Go(func() { d.pollPlatform(ctx) })
	return d, nil
}

// randomStart returns the random number that tells incarnations apart.
func randomStart() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:])
	return binary.BigEndian.Uint64(b[:]) | 1
}

// platformAddresses returns the IP and port of base addresses.
func platformAddresses(bases []string) []string {
	out := make([]string, 0, len(bases))
	for _, b := range bases {
		out = append(out, strings.TrimPrefix(strings.TrimSuffix(b, "/"), "http://"))
	}
	return out
}

func newRand() *rand.Rand { return rand.New(rand.NewPCG(randomStart(), randomStart())) }

func (d *Daemon) newCoordinator() *coordinatorLoop {
	machine := coordinator.New(coordinator.Config{
		Self:        d.self.Incarnation,
		Fingerprint: func(string, string) view.Fingerprint { return 0 },
	}, newRand())
	return &coordinatorLoop{
		clock:    d.clock,
		carrier:  d,
		observe:  func(view.Observation) {},
		counters: d.counters,
		wakeup:   newWakeup(),
		machine:  machine,
		queries:  make(map[coordinator.Ticket]chan api.QueryAnswer),
	}
}

func (d *Daemon) listen() error {
	listener, err := net.Listen("tcp", d.settings.CallerAddress)
	if err != nil {
		return eris.Wrap(err, "listen for callers")
	}
	handler, err := callerapi.New(d, callerapi.Options{
		Refused: func(c result.Code) { d.counters.Code(telemetry.FamilyAnswers, c) },
	})
	if err != nil {
		return eris.Wrap(err, "build the caller API")
	}
	d.callerListener = listener
	d.callerServer = callerapi.NewServer(handler)
	d.running.Go(func() {
		if err := d.callerServer.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.Error().Err(err).Msg("caller API stopped")
		}
	})
	return nil
}

// CallerAddress returns the IP and port of the caller API.
func (d *Daemon) CallerAddress() string { return d.callerListener.Addr().String() }

// Stop ends the host.
func (d *Daemon) Stop(ctx context.Context) error {
	err := d.callerServer.Shutdown(ctx)
	d.cancel()
	d.endpoints.Close()
	d.running.Wait()
	return err
}

// Query implements callerapi.Handler.
func (d *Daemon) Query(ctx context.Context, q api.QueryRequest) api.QueryAnswer {
	return d.coordinator.query(ctx, q)
}

// Permit implements callerapi.Handler.
func (d *Daemon) Permit(_ context.Context, p api.PermitRequest) api.PermitAnswer {
	return api.PermitAnswer{RequestID: p.RequestID, Code: result.NotReady}
}

// Submit implements callerapi.Handler.
func (d *Daemon) Submit(_ context.Context, s api.SubmitRequest) api.SubmitAnswer {
	return api.SubmitAnswer{RequestID: s.RequestID, Code: result.NotReady}
}

// Status implements callerapi.Handler.
func (d *Daemon) Status() api.StatusAnswer {
	v := d.currentView()
	s := api.StatusAnswer{Ready: v.Ready, Code: v.Reason, DataCentre: d.settings.DataCentre, Version: Version}
	if v.Bundle != nil {
		s.Revision = uint64(v.Bundle.Revision)
	}
	return s
}

func (d *Daemon) currentView() *view.View {
	d.viewMu.RLock()
	defer d.viewMu.RUnlock()
	return d.view
}

// carry implements carrier.
func (d *Daemon) carry(_ string, requests []dispatch.Request) {
	for _, r := range requests {
		d.endpoints.Send(r, d.coordinator.reply)
	}
}

// withdraw implements carrier.
func (d *Daemon) withdraw(_ string, cancels []dispatch.Cancel) {
	for _, c := range cancels {
		d.endpoints.Cancel(c)
	}
}

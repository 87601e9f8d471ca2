package daemon

import (
	"errors"
	"net"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/gypsumlug/gypsumlug/internal/adminapi"
	"github.com/gypsumlug/gypsumlug/internal/callerapi"
	"github.com/gypsumlug/gypsumlug/internal/callerconn"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
	"github.com/gypsumlug/gypsumlug/internal/endpointhttp"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// listen opens the three listeners.
func (d *Daemon) listen() error {
	targets := []struct {
		name     string
		address  string
		listener *net.Listener
	}{
		{"peer", d.settings.PeerAddress, &d.peerListener},
		{"caller", d.settings.CallerAddress, &d.callerServer.listener},
		{"admin", d.settings.AdminAddress, &d.adminServer.listener},
	}
	for _, t := range targets {
		l, err := net.Listen("tcp", t.address)
		if err != nil {
			return eris.Wrapf(err, "listen on the %s address", t.name)
		}
		*t.listener = l
	}
	return nil
}

func (d *Daemon) closeListeners() {
	for _, l := range []net.Listener{d.peerListener, d.callerServer.listener, d.adminServer.listener} {
		if l != nil {
			_ = l.Close()
		}
	}
}

// serve starts the loops and the servers.
func (d *Daemon) serve() error {
	callerHandler, err := callerapi.New(d, callerapi.Options{
		OnRefused: func(c result.Code) { d.counters.IncCode(telemetry.FamilyAnswers, c) },
	})
	if err != nil {
		return eris.Wrap(err, "build the caller API")
	}
	adminHandler, err := d.adminHandler()
	if err != nil {
		return eris.Wrap(err, "build the admin API")
	}
	d.callerServer.server = callerapi.NewServer(callerHandler)
	d.adminServer.server = adminapi.NewServer(adminHandler)
	callerconn.Install(d.callerServer.server)
	callerconn.Install(d.adminServer.server)
	callers := d.callers.Listen(d.callerServer.listener, callerapi.MaxHeaderBytes)
	admins := d.callers.Listen(d.adminServer.listener, adminapi.MaxHeaderBytes)
	d.goroutines.Go(func() { d.relay.run(d.ctx) })
	d.goroutines.Go(func() { d.coordinator.run(d.ctx) })
	d.goroutines.Go(func() { d.control.run(d.ctx) })
	d.goroutines.Go(func() { d.serveHTTP("caller", d.callerServer.server, callers) })
	d.goroutines.Go(func() { d.serveHTTP("admin", d.adminServer.server, admins) })
	d.goroutines.Go(func() {
		if err := d.peerServer.Serve(d.peerListener); err != nil && d.ctx.Err() == nil {
			d.log.Error().Err(err).Msg("peer server stopped")
		}
	})
	return nil
}

func (d *Daemon) serveHTTP(name string, server *http.Server, l net.Listener) {
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		d.log.Error().Err(err).Str("listener", name).Msg("HTTP server stopped")
	}
}

// endpointOptions returns callbacks that count connections to endpoints and report
// leaving endpoints to control.
func (d *Daemon) endpointOptions() endpointhttp.Options {
	return endpointhttp.Options{
		Memory: d.memory,
		OnStatus: func(id string, s endpointapi.Status) {
			if s.Load.Leaving {
				d.control.observe(view.Observation{LeavingEndpoint: id})
			}
		},
		OnDial: func(_ string, err error) {
			name := "gypsumlug_endpoint_connections_opened_total"
			if err != nil {
				name = "gypsumlug_endpoint_dials_failed_total"
			}
			d.counters.Counter(name).Inc()
		},
		OnClose: func(_ string, r endpointhttp.CloseReason) {
			d.counters.Counter(`gypsumlug_endpoint_connections_closed_total{reason="` + string(r) + `"}`).Inc()
		},
	}
}

func (d *Daemon) countPlatformCall(call string, code result.Code) {
	d.counters.Counter(`gypsumlug_platform_calls_total{call="` + call + `",reason="` + code.String() + `"}`).Inc()
}

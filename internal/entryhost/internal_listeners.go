package entryhost

import (
	"net"
	"net/http"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/gypsumlug/gypsumlug/internal/callerbudget"
	"github.com/gypsumlug/gypsumlug/internal/callerconn"
	"github.com/gypsumlug/gypsumlug/platform"
)

// internalLimits bound what the connections for readiness and metrics make the host hold, each
// listener on its own, and maxInternalHeaderBytes the head of a request on them.
var internalLimits = callerbudget.Limits{Bytes: 2 << 20, AnswerBytes: 1 << 20, Connections: 32}

const maxInternalHeaderBytes = 8 << 10

// serveInternal starts the listeners for readiness and metrics.
func (h *Host) serveInternal() error {
	readiness, err := net.Listen("tcp", h.settings.Load().ReadinessAddress)
	if err != nil {
		return eris.Wrap(err, "listen for readiness")
	}
	s := h.settings.Load()
	peerAddress, _ := netip.ParseAddrPort(s.PeerAddress)
	metrics, err := net.Listen("tcp", netip.AddrPortFrom(peerAddress.Addr(), uint16(s.InternalPorts[1])).String())
	if err != nil {
		return eris.Wrap(err, "listen for metrics")
	}
	go serveGuarded(readiness, platform.ReadinessHandler(h.isReady))
	go serveGuarded(metrics, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h.updateAdmissionMetrics()
		h.counters.Write(w)
	}))
	return nil
}

// serveGuarded serves a listener for the platform or for operators, whose connections may take
// internalLimits.
func serveGuarded(l net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, MaxHeaderBytes: maxInternalHeaderBytes}
	callerconn.Install(server)
	_ = server.Serve(callerconn.NewGuard(internalLimits, nil).Listen(l, maxInternalHeaderBytes))
}

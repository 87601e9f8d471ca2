package entryhost

import (
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/gypsumlug/gypsumlug/internal/telemetry"
)

// Guards against a host that runs on without peers and never ends, not even when it is
// told to stop, since it could not listen for peers.
func TestHostEndsIfAnAddressIsTaken(t *testing.T) {
	for name, address := range map[string]func(*Settings) *string{
		"callers":   func(s *Settings) *string { return &s.CallerAddress },
		"readiness": func(s *Settings) *string { return &s.ReadinessAddress },
		"peers":     func(s *Settings) *string { return &s.PeerAddress },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			store := httptest.NewServer(http.NotFoundHandler())
			t.Cleanup(store.Close)
			s := &Settings{
				Host: "h", DataCentre: "z", CallerAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0",
				InternalPorts: []int{0, 0}, StoreAddress: strings.TrimPrefix(store.URL, "http://"), GraceSeconds: 6,
			}
			other, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			t.Cleanup(func() { _ = other.Close() })
			*address(s) = other.Addr().String()
			h, err := New(s, zerolog.Nop(), telemetry.NewCounters())
			g.Expect(err).NotTo(HaveOccurred())
			stop := make(chan struct{})
			close(stop)
			ended := make(chan error, 1)
			go func() { ended <- h.Run(stop) }()
			g.Eventually(ended, testTimeout).Should(Receive(MatchError(syscall.EADDRINUSE)))
		})
	}
}

package discoveryagent

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
)

// A heartbeat with as much as it ever tells, in long names, fits into a datagram.
func TestHeartbeatFitsIntoADatagram(t *testing.T) {
	g := NewWithT(t)
	const address, centre = "255.255.255.255:65535", "fray-bentos"
	m := discovery.NewMachine(discovery.Member{Address: address, DataCentre: centre, Start: math.MaxUint64, Processor: 100}, []string{"10.0.0.1:1"}, 0, rand.New(rand.NewPCG(1, 1)))
	now := time.Second
	for i := range 200 {
		m.Hello(now, discovery.Hello{Format: discovery.FormatVersion, From: fmt.Sprintf("255.255.255.%03d:65535", i), Start: math.MaxUint64, DataCentre: centre, Processor: 100})
	}
	a := m.Tick(now + 100*time.Millisecond)
	g.Expect(a.Send).NotTo(BeEmpty())
	for _, o := range a.Send {
		o.Hello.Revision, o.Hello.Digest, o.Hello.Version, o.Hello.Age = math.MaxUint64, math.MaxUint64, math.MaxUint64, time.Hour
		for i := range 3 {
			replica := strings.Repeat(fmt.Sprint(i), 26)
			o.Hello.Suspects = append(o.Hello.Suspects, peerwire.SuspectHint{Fingerprint: math.MaxUint64, Endpoints: []string{replica, replica}, Proven: true, TTL: time.Hour})
		}
		data, err := msgpack.Marshal(&o.Hello)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(len(data)).To(BeNumerically("<=", maxDatagram))
	}
}

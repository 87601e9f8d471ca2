package discovery_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// largeConfig returns a configuration with an index of many shards.
func largeConfig() *routing.Config {
	const shards = 225
	c := &routing.Config{Version: 7, Services: map[string]routing.Service{}}
	r := routing.Route{Name: "index", Host: "x", Prefix: "/", MaxReplicas: 2}
	for i := range shards {
		name := fmt.Sprintf("shard-%03d", i)
		c.Services[name] = routing.Service{Name: name, MaxConnections: 80}
		r.Shards = append(r.Shards, name)
	}
	c.Routes = []routing.Route{r}
	return c
}

// The configuration in a state is encoded like a routing.Config, which hosts of earlier
// versions send and expect.
func TestSharedConfigIsEncodedLikeConfig(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []*routing.Config{largeConfig(), nil} {
		state := discovery.State{Format: discovery.FormatVersion}
		if c != nil {
			state.Config = discovery.NewSharedConfig(c)
		}
		data, err := msgpack.Marshal(&state)
		g.Expect(err).NotTo(HaveOccurred())
		var plain struct {
			Config *routing.Config `msgpack:"c"`
		}
		g.Expect(msgpack.Unmarshal(data, &plain)).To(Succeed())
		g.Expect(plain.Config).To(Equal(c))
		var received discovery.State
		plainData, err := msgpack.Marshal(&plain)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(msgpack.Unmarshal(plainData, &received)).To(Succeed())
		g.Expect(received.Config.Value()).To(Equal(c))
	}
}

// Guards against a host that falls behind because all others ask it for a changed
// configuration at once, and it encodes the configuration anew for each.
func TestConfigIsEncodedOnceForAllHosts(t *testing.T) {
	const hosts, maxAllocationsPerHost = 100, 20
	state := discovery.State{Format: discovery.FormatVersion, Config: discovery.NewSharedConfig(largeConfig())}
	allocations := testing.AllocsPerRun(hosts, func() {
		if _, err := msgpack.Marshal(&state); err != nil {
			t.Fatal(err)
		}
	})
	NewWithT(t).Expect(allocations).To(BeNumerically("<", maxAllocationsPerHost))
}

package gateway_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/ratelimit"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// deadlySender simulates replicas that crash when they run any of some requests.
type deadlySender struct {
	*replicaSimulator
	crashes map[string]int
}

func (s *deadlySender) Send(req dispatch.Request, done func(dispatch.Reply)) {
	s.mu.Lock()
	_, deadly := s.crashes[req.Message.Target]
	if deadly {
		s.crashes[req.Message.Target]++
	}
	s.mu.Unlock()
	if !deadly {
		s.replicaSimulator.Send(req, done)
		return
	}
	go done(req.UnknownReply(result.EndpointCrashed))
}

// Guards against what a fleet has learned being lost in a planned restart of its hosts, one
// after the other: replicas crash anew with requests that are known to crash them (review,
// case 3).
func TestWhatTheFleetHasLearnedOutlivesRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const deadly = 16
		d := deployment{hosts: 4, dataCentres: 1, shards: 1, replicasPerShard: 19, attempts: 2, ratio: 1, slack: 100, target: 100 * time.Millisecond}
		sim := newReplicaSimulator(1)
		sender := &deadlySender{sim, map[string]int{}}
		view := d.view(sim)
		hosts := d.startHostsWithSender(sim, view, 1, sender)
		paths := make([]string, deadly)
		for n := range paths {
			paths[n] = fmt.Sprint("/safe/deadly-", n)
			sender.crashes[paths[n]] = 0
		}
		for n, path := range paths {
			for round := range 3 {
				serveAndWait(hosts[n%len(hosts)], path, fmt.Sprint(path, round))
			}
		}
		for range 2 * deadly {
			exchangeHints(hosts)
		}
		known := map[string]int{}
		for path, n := range sender.crashes {
			known[path] = n
			g.Expect(n).To(BeNumerically("<=", 3), path)
		}
		for restarted := range hosts {
			fresh := d.startHostsWithSender(sim, view, 2, sender)[restarted]
			fresh.MergeNews(hosts[(restarted+1)%len(hosts)].News())
			hosts[restarted] = fresh
			for n, path := range paths {
				a := serveAndWait(fresh, path, fmt.Sprint(path, " again ", restarted))
				g.Expect(a.Code).To(Equal(result.Quarantined), "request %d at host %d", n, restarted)
			}
		}
		g.Expect(sender.crashes).To(Equal(known))
	})
}

// A host that starts is told of leaving replicas and of rate limits, however long ago they
// became known.
func TestHostThatStartsIsToldOfLeavingReplicas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := announcingDeployment
		sim := newReplicaSimulator(1)
		hosts := d.startHosts(sim, d.view(sim), 1)
		hosts[0].MergeLeavingHints([]string{"one-0@0"})
		time.Sleep(time.Minute)
		hosts[0].MergeRateLimitHints([]ratelimit.Hint{{Endpoint: "two-0@0", PerSecond: 3}})
		hosts[1].MergeNews(hosts[0].News())
		news := hosts[1].News()
		g.Expect(news.LeavingReplicas).To(Equal([]string{"one-0@0"}))
		g.Expect(news.RateLimits).To(ContainElement(HaveField("Endpoint", "two-0@0")))
	})
}

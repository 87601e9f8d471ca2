package gateway_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// crashing plays replicas that one request of the world crashes: whoever begins to
// run it is gone with its connections.
type crashing struct {
	*world
	deadly string
	// most bounds the crashes; zero means no bound.
	most int

	mu      sync.Mutex
	crashed []string
}

// Send implements gateway.Sender.
func (c *crashing) Send(req dispatch.Request, done func(dispatch.Reply)) {
	if req.Message.Target != c.deadly {
		c.world.Send(req, done)
		return
	}
	if !c.crash(req.Endpoint) {
		c.world.Send(req, done)
		return
	}
	go done(req.UnknownReply(result.EndpointCrashed))
}

func (c *crashing) crash(replica string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.most > 0 && len(c.crashed) >= c.most {
		return false
	}
	c.crashed = append(c.crashed, replica)
	return true
}

func (c *crashing) crashes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.crashed)
}

// partTime is longer than the parts of a query that has been answered go on.
const partTime = 500 * time.Millisecond

// askAt asks a host and waits until the parts that other hosts serve have ended too.
func askAt(host *gateway.Gateway, target, id string) gateway.Answer {
	a := host.Serve(context.Background(), &gateway.Request{
		Message: dispatch.Message{ID: id, Method: "GET", Host: "x", Target: target, Caller: "100.64.0.7"}, Path: target, CallerTimeout: time.Second,
	})
	time.Sleep(partTime)
	synctest.Wait()
	return a
}

// tell passes what each host knows on to all others, as heartbeats do.
func tell(hosts []*gateway.Gateway) {
	for _, from := range hosts {
		for _, to := range hosts {
			if from != to {
				to.MergeSuspectHints(from.SuspectHints())
			}
		}
	}
}

// mostParts bounds the parts of a divided query, each of which may run a suspect
// alone once.
const mostParts = 8

// A request that crashes the replicas that run it, and comes again at every host,
// crashes no more than a first query's and one of each host that had not heard.
func TestRequestThatCrashesReplicasIsQuarantined(t *testing.T) {
	for i, d := range deployments {
		t.Run(d.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				c := &crashing{world: newWorld(uint64(i)), deadly: "/index/a/deadly"}
				hosts := d.startWith(c.world, d.view(c.world), 1, c)
				first := askAt(hosts[0], c.deadly, "d0")
				g.Expect(first.Code.Class()).NotTo(Equal(result.ClassComplete))
				g.Expect(c.crashes()).To(BeNumerically("<=", d.shards+mostParts), "the first query")
				askAt(hosts[0], c.deadly, "d1")
				afterTwo := c.crashes()
				g.Expect(afterTwo).To(BeNumerically("<=", d.shards+mostParts+1), "the second one runs alone")
				tell(hosts)
				for n := range 3 {
					for h, host := range hosts {
						a := askAt(host, c.deadly, fmt.Sprint("again", n, h))
						if d.copies > 1 {
							g.Expect(a.Code).To(Equal(result.Quarantined))
							g.Expect(a.RetryAfter).To(BeNumerically(">", 0))
						}
					}
				}
				if d.copies > 1 {
					g.Expect(c.crashes()).To(Equal(afterTwo))
				} else {
					g.Expect(c.crashes()).To(BeNumerically("<=", afterTwo+1))
				}
				synctest.Wait()
				g.Expect(askAt(hosts[0], "/index/a/other", "o").Code).To(Equal(result.Complete), "others are served")
			})
		})
	}
}

// A request that was in flight when replicas crashed, and then runs to its end
// alone, is served, and no suspect at any host.
func TestInnocentRequestIsCleared(t *testing.T) {
	for _, crashes := range []int{1, 2, 20} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			d := deployments[0]
			c := &crashing{world: newWorld(1), deadly: "/index/a/unlucky", most: crashes}
			hosts := d.startWith(c.world, d.view(c.world), 1, c)
			g.Expect(askAt(hosts[0], c.deadly, "u0").Code).To(Equal(result.Complete))
			g.Expect(c.crashes()).To(Equal(crashes))
			tell(hosts)
			for _, host := range hosts {
				g.Expect(host.SuspectHints()).To(HaveEach(HaveField("Cleared", true)))
			}
			g.Expect(askAt(hosts[1], c.deadly, "u1").Code).To(Equal(result.Complete))
		})
	}
}

// Requests of another caller, or to another path, are not held for it.
func TestQuarantineIsOfOneRequest(t *testing.T) {
	g := NewWithT(t)
	synctest.Test(t, func(t *testing.T) {
		d := deployments[0]
		c := &crashing{world: newWorld(1), deadly: "/index/a/deadly"}
		host := d.startWith(c.world, d.view(c.world), 1, c)[0]
		askAt(host, c.deadly, "d0")
		askAt(host, c.deadly, "d1")
		g.Expect(askAt(host, c.deadly, "d2").Code).To(Equal(result.Quarantined))
		g.Expect(askAt(host, c.deadly+"?page=2", "d3").Code).To(Equal(result.Quarantined), "the query part does not tell requests apart")
		c.deadly = ""
		other := host.Serve(context.Background(), &gateway.Request{
			Message: dispatch.Message{ID: "o", Method: "GET", Host: "x", Target: "/index/a/deadly", Caller: "100.64.0.8"}, Path: "/index/a/deadly", CallerTimeout: time.Second,
		})
		g.Expect(other.Code).To(Equal(result.Complete))
		g.Expect(host.SuspectHints()).To(ContainElement(HaveField("Proven", true)))
	})
}

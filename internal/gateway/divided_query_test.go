package gateway_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/balance"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

const shards = 90

type silent struct{}

func (silent) RequestEnded(gateway.RequestSummary)  {}
func (silent) AttemptEnded(result.Code)             {}
func (silent) QueryEvent(query.Event)               {}
func (silent) SuspectChanged(gateway.SuspectChange) {}

// replicas answers attempts and counts them by shard.
type replicas struct {
	mu   sync.Mutex
	sent map[string]int
	// refuse tells which replicas refuse.
	refuse func(endpoint string) bool
}

func (r *replicas) Cancel(dispatch.Key) {}

func (r *replicas) Send(req dispatch.Request, done func(dispatch.Reply)) {
	r.mu.Lock()
	r.sent[req.Endpoint]++
	r.mu.Unlock()
	if r.refuse != nil && r.refuse(req.Endpoint) {
		go done(req.RefusedReply(result.EndpointShed))
		return
	}
	reply := dispatch.Reply{Key: req.Key, Endpoint: req.Endpoint, Outcome: dispatch.OK, Snapshot: req.Snapshot, Range: req.Range}
	reply.Response = &dispatch.Response{Status: 200, Stamp: req.Endpoint, Body: []byte(fmt.Sprintf("%-16s", req.Endpoint))}
	go done(reply)
}

// fleet is hosts of one data centre that ask each other in process.
type fleet struct {
	hosts map[string]*gateway.Gateway
	// asked counts the parts that hosts were asked for.
	mu    sync.Mutex
	asked map[string]int
	// fail makes a host's parts fail.
	fail func(address string) error
	// silent hosts never reply, lost ones serve their part and then don't.
	silent func(address string) bool
	lose   func(address string) bool
	// delay is how much later the replies come.
	delay time.Duration
}

func (f *fleet) RequestPart(ctx context.Context, address string, r *split.Request) (*split.Reply, error) {
	f.mu.Lock()
	f.asked[address]++
	f.mu.Unlock()
	if f.silent != nil && f.silent(address) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if f.fail != nil {
		if err := f.fail(address); err != nil {
			return nil, err
		}
	}
	reply := f.hosts[address].ServePart(ctx, r)
	select {
	case <-time.After(f.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if f.lose != nil && f.lose(address) {
		return nil, errLost
	}
	return reply, nil
}

var errLost = errors.New("connection reset")

// newFleet returns n hosts in the data centre of the replicas.
func newFleet(n int, slack float64) (*fleet, *replicas, []*gateway.Gateway) {
	return newFleetIn(slack, slices.Repeat([]string{"a"}, n)...)
}

// newFleetIn returns a host in each of some data centres.
func newFleetIn(slack float64, centres ...string) (*fleet, *replicas, []*gateway.Gateway) {
	f := &fleet{hosts: map[string]*gateway.Gateway{}, asked: map[string]int{}}
	sender := &replicas{sent: map[string]int{}}
	started := time.Now()
	var peers []split.Peer
	for i, centre := range centres {
		peers = append(peers, split.Peer{Address: fmt.Sprintf("10.%s.0.%d:1", centre, i), DataCentre: centre})
	}
	view := routing.NewView(wide(1))
	var hosts []*gateway.Gateway
	for i, p := range peers {
		g := gateway.New(gateway.Config{
			DataCentre: p.DataCentre, Incarnation: uint64(i + 1), Tuning: gateway.Tuning{Allowance: balance.Allowance{Ratio: 0.2, Slack: slack}},
			Now: func() time.Duration { return time.Since(started) }, Sender: sender, Recorder: silent{}, Self: p, Peers: f,
		}, rand.New(rand.NewPCG(uint64(i), 1)))
		g.SetPeers(peers)
		g.SetView(view)
		f.hosts[p.Address] = g
		hosts = append(hosts, g)
	}
	return f, sender, hosts
}

// wide returns a configuration with one index of many shards, and its replicas.
func wide(version uint64) (*routing.Config, []*routing.Replica, time.Duration) {
	route := routing.Route{
		Name: "r", Host: "x", Prefix: "/", Repeatable: true, Timeout: 5 * time.Second, Target: 2 * time.Second,
		MaxReplicas: 2, TopRecords: 10, LeastShards: 80,
	}
	var all []*routing.Replica
	for i := range shards {
		name := fmt.Sprintf("s%02d", i)
		route.Shards = append(route.Shards, name)
		for _, copy := range []string{"a", "b", "c"} {
			all = append(all, &routing.Replica{ID: name + copy, Service: name, Address: name + copy, DataCentre: "a", Slots: 2})
		}
	}
	c := &routing.Config{Version: version, Routes: []routing.Route{route}}
	c.IndexRoutes()
	return c, all, 0
}

func ask(g *gateway.Gateway) gateway.Answer {
	return g.Serve(context.Background(), &gateway.Request{Message: dispatch.Message{ID: "q", Method: "GET", Host: "x", Target: "/"}, Path: "/"})
}

func stamps(a gateway.Answer) map[string]int {
	out := map[string]int{}
	for _, p := range a.ShardResponses {
		out[p.Stamp[:3]]++
	}
	return out
}

// expectWhole expects each shard once and the greatest records.
func expectWhole(g *WithT, a gateway.Answer) {
	g.Expect(a.Code).To(Equal(result.Complete))
	g.Expect(a.MissingShards).To(BeZero())
	g.Expect(stamps(a)).To(HaveLen(shards))
	g.Expect(a.ShardResponses).To(HaveLen(shards))
	g.Expect(string(a.Records)).To(HavePrefix("s89"))
	g.Expect(a.Records).To(HaveLen(10 * query.RecordSize))
}

// A host far from the replicas asks hosts near them for every part.
func TestQueryIsServedNearTheReplicas(t *testing.T) { synctest.Test(t, queryIsServedNearTheReplicas) }

func queryIsServedNearTheReplicas(t *testing.T) {
	g := NewWithT(t)
	f, sender, hosts := newFleetIn(100, append(slices.Repeat([]string{"a"}, 24), slices.Repeat([]string{"b"}, 24)...)...)
	expectWhole(g, ask(hosts[30]))
	parts := 0
	for address, n := range f.asked {
		g.Expect(address).To(HavePrefix("10.a."))
		parts += n
	}
	g.Expect(parts).To(Equal(8))
	total := 0
	for _, n := range sender.sent {
		total += n
	}
	g.Expect(total).To(Equal(shards))
}

func TestDividedQueryIsWhole(t *testing.T) { synctest.Test(t, dividedQueryIsWhole) }

func dividedQueryIsWhole(t *testing.T) {
	g := NewWithT(t)
	_, sender, hosts := newFleet(24, 100)
	for range 5 {
		expectWhole(g, ask(hosts[0]))
	}
	total := 0
	for _, n := range sender.sent {
		total += n
	}
	g.Expect(total).To(Equal(5 * shards))
}

// The shards of a host that cannot be reached or that knows another index are
// served by the host that asked.
func TestDividedQuerySurvivesItsHelpers(t *testing.T) {
	for name, trouble := range map[string]func(f *fleet, hosts []*gateway.Gateway){
		"no other is reached": func(f *fleet, _ []*gateway.Gateway) { f.fail = func(string) error { return gateway.ErrNotAccepted } },
		"others have another index": func(_ *fleet, hosts []*gateway.Gateway) {
			for _, h := range hosts[1:] {
				c, replicas, read := wide(2)
				c.Routes[0].Shards = c.Routes[0].Shards[1:]
				h.SetView(routing.NewView(c, replicas, read))
			}
		},
		"others know nothing yet": func(f *fleet, hosts []*gateway.Gateway) {
			for _, h := range hosts[1:] {
				h.SetView(routing.NewView(nil, nil, 0))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f, _, hosts := newFleet(24, 100)
				trouble(f, hosts)
				expectWhole(g, ask(hosts[0]))
			})
		})
	}
}

// A query whose helpers are late gets a late answer, not a failure, as soon as the
// least share is in.
func TestDividedQueryWaitsForLateHelpers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, _, hosts := newFleet(24, 100)
		const lag = 3 * time.Second
		f.delay = lag
		began := time.Now()
		a := ask(hosts[0])
		g.Expect(a.Code.Class()).To(BeElementOf(result.ClassComplete, result.ClassPartial))
		g.Expect(time.Since(began)).To(BeNumerically("~", lag, 50*time.Millisecond))
	})
}

// A query that cannot get the least share any more ends there, though other parts
// are under way.
func TestDividedQueryEndsWhenItIsHopeless(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, _, hosts := newFleet(24, 100)
		f.fail = func(address string) error {
			if address[len(address)-3] == '1' {
				return nil
			}
			return errLost
		}
		f.delay = time.Second
		began := time.Now()
		g.Expect(ask(hosts[0]).Code).To(Equal(result.OutcomeUnknown))
		g.Expect(time.Since(began)).To(BeNumerically("<", f.delay))
	})
}

// Whatever becomes of the helpers, a request is sent to no more replicas of a shard
// than its route allows.
func TestDividedQueryKeepsWithinItsReplicas(t *testing.T) {
	for name, trouble := range map[string]func(f *fleet){
		"lost after they sent": func(f *fleet) { f.lose = func(string) bool { return true } },
		"silent":               func(f *fleet) { f.silent = func(string) bool { return true } },
		"not reached":          func(f *fleet) { f.fail = func(string) error { return gateway.ErrNotAccepted } },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f, sender, hosts := newFleet(24, 1000)
				sender.refuse = func(endpoint string) bool { return endpoint[3] != 'c' }
				trouble(f)
				ask(hosts[0])
				distinct := map[string]int{}
				for endpoint := range sender.sent {
					distinct[endpoint[:3]]++
				}
				for shard, n := range distinct {
					g.Expect(n).To(BeNumerically("<=", 2), shard)
				}
			})
		})
	}
}

// A shard that no host gets a part of is counted as missing, once.
func TestDividedQueryCountsMissingShards(t *testing.T) {
	synctest.Test(t, dividedQueryCountsMissingShards)
}

func dividedQueryCountsMissingShards(t *testing.T) {
	g := NewWithT(t)
	_, sender, hosts := newFleet(24, 100)
	sender.refuse = func(endpoint string) bool { return endpoint[:3] == "s07" || endpoint[:3] == "s41" }
	a := ask(hosts[3])
	g.Expect(a.Code).To(Equal(result.Partial))
	g.Expect(a.MissingShards).To(Equal(2))
	g.Expect(stamps(a)).To(And(HaveLen(shards-2), Not(HaveKey("s07")), Not(HaveKey("s41"))))
}

// Where no replica ran anything the refusal says so.
func TestDividedQueryThatDidNotRun(t *testing.T) { synctest.Test(t, dividedQueryThatDidNotRun) }

func dividedQueryThatDidNotRun(t *testing.T) {
	g := NewWithT(t)
	_, sender, hosts := newFleet(24, 100)
	sender.refuse = func(string) bool { return true }
	a := ask(hosts[0])
	g.Expect(a.Code.Class()).To(Equal(result.ClassNotRun))
	g.Expect(a.RetryAfter).To(BeNumerically(">", 0))
}

// A query whose helpers were lost may have run there: it is not told as not run,
// though every replica refused this host's own part.
func TestDividedQueryWithLostHelpersIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, sender, hosts := newFleet(24, 100)
		sender.refuse = func(string) bool { return true }
		f.lose = func(string) bool { return true }
		g.Expect(ask(hosts[0]).Code.Class()).To(Equal(result.ClassUnknown))
	})
}

package gateway_test

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/balance"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/gateway"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// deployment is one of a kind that the users run.
type deployment struct {
	hosts, centres, shards, copies int
	attempts                       int
	ratio, slack                   float64
	target                         time.Duration
	// perSecond is the rate of requests at each host.
	perSecond int
}

func (d deployment) String() string {
	return fmt.Sprintf("%d hosts in %d centres, %d shards of %d, %d attempts, budget %.2f+%.0f, %v", d.hosts, d.centres, d.shards, d.copies, d.attempts, d.ratio, d.slack, d.target)
}

// deployments vary each of the figures that decisions follow from.
var deployments = []deployment{
	{hosts: 14, centres: 4, shards: 20, copies: 2, attempts: 2, ratio: 0.2, slack: 108, target: 100 * time.Millisecond, perSecond: 6},
	{hosts: 20, centres: 3, shards: 20, copies: 2, attempts: 2, ratio: 0.2, slack: 129, target: 200 * time.Millisecond, perSecond: 6},
	{hosts: 8, centres: 1, shards: 4, copies: 3, attempts: 3, ratio: 0.1, slack: 20, target: 50 * time.Millisecond, perSecond: 12},
	{hosts: 8, centres: 2, shards: 1, copies: 4, attempts: 4, ratio: 0.05, slack: 10, target: 400 * time.Millisecond, perSecond: 12},
	{hosts: 10, centres: 2, shards: 12, copies: 1, attempts: 1, ratio: 0.2, slack: 60, target: 80 * time.Millisecond, perSecond: 8},
	{hosts: 30, centres: 3, shards: 48, copies: 2, attempts: 2, ratio: 0.2, slack: 150, target: 100 * time.Millisecond, perSecond: 2},
	{hosts: 24, centres: 2, shards: 90, copies: 3, attempts: 2, ratio: 0.1, slack: 120, target: 150 * time.Millisecond, perSecond: 2},
	{hosts: 12, centres: 3, shards: 8, copies: 2, attempts: 2, ratio: 0, slack: 40, target: 100 * time.Millisecond, perSecond: 8},
}

const (
	// budgetWindow is the window of the allowance of extra attempts.
	budgetWindow = 10 * time.Second
	// playedTime is how long each deployment is played, and settleTime how long its
	// last requests take.
	playedTime = 24 * time.Second
	settleTime = 10 * time.Second
	// answerSlack is how much later than its timeout a request may be answered.
	answerSlack = 500 * time.Millisecond
)

// arrival is a request that reached a replica.
type arrival struct {
	at      time.Duration
	service string
	replica string
	request string
	ran     bool
}

// trouble is how a replica behaves.
type trouble struct {
	// refuse, fail, lose and mute are shares of requests.
	refuse, fail, lose, mute float64
	delay                    time.Duration
	// cut tells that it cannot be reached.
	cut bool
}

// world plays the replicas of a deployment and keeps what reached them.
type world struct {
	started time.Time
	service map[string]string

	mu       sync.Mutex
	rng      *rand.Rand
	troubles map[string]trouble
	arrivals []arrival
	cancels  map[dispatch.Key]chan struct{}
}

func newWorld(seed uint64) *world {
	return &world{
		started: time.Now(), service: map[string]string{}, rng: rand.New(rand.NewPCG(seed, 1)), troubles: map[string]trouble{},
		cancels: map[dispatch.Key]chan struct{}{},
	}
}

func (w *world) now() time.Duration { return time.Since(w.started) }

// Send implements gateway.Sender.
func (w *world) Send(req dispatch.Request, done func(dispatch.Reply)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.troubles[req.Endpoint]
	draw := w.rng.Float64()
	if !t.cut {
		w.arrivals = append(w.arrivals, arrival{w.now(), w.service[req.Endpoint], req.Endpoint, req.Message.ID, draw >= t.refuse})
	}
	cancelled := make(chan struct{})
	w.cancels[req.Key] = cancelled
	took := t.delay + time.Duration(w.rng.Int64N(int64(8*time.Millisecond)))
	go func() { done(w.play(&req, t, draw, took, cancelled)) }()
}

// play returns the reply of a replica that takes a time.
func (w *world) play(req *dispatch.Request, t trouble, draw float64, took time.Duration, cancelled <-chan struct{}) dispatch.Reply {
	if t.cut {
		return req.RefusedReply(result.ConnectFailed)
	}
	if draw < t.refuse {
		return req.RefusedReply(result.EndpointShed)
	}
	if draw < t.refuse+t.mute {
		took = req.Budget
	}
	select {
	case <-cancelled:
		return req.UnknownReply(result.Cancelled)
	case <-time.After(min(took, max(req.Budget, time.Millisecond))):
	}
	reply := dispatch.Reply{Key: req.Key, Endpoint: req.Endpoint, Snapshot: req.Snapshot, Range: req.Range}
	switch {
	case took >= req.Budget || draw < t.refuse+t.mute+t.lose:
		return req.UnknownReply(result.OutcomeUnknown)
	case draw < t.refuse+t.mute+t.lose+t.fail:
		reply.Outcome, reply.Code = dispatch.Failed, result.EndpointFailed
		reply.Response = &dispatch.Response{Status: 500, Stamp: req.Endpoint}
	default:
		reply.Outcome = dispatch.OK
		reply.Response = &dispatch.Response{Status: 200, Stamp: req.Endpoint, Body: []byte(fmt.Sprintf("%-16s", req.Endpoint))}
	}
	return reply
}

// Cancel implements gateway.Sender.
func (w *world) Cancel(key dispatch.Key) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c := w.cancels[key]; c != nil {
		close(c)
		delete(w.cancels, key)
	}
}

// disturb changes the behaviour of some replicas.
func (w *world) disturb() {
	w.mu.Lock()
	defer w.mu.Unlock()
	kinds := []trouble{
		{refuse: 0.5},
		{fail: 0.4},
		{lose: 0.4},
		{mute: 0.3},
		{delay: 150 * time.Millisecond},
		{refuse: 1},
		{mute: 1},
		{cut: true},
		{refuse: 0.2, fail: 0.2, lose: 0.2, mute: 0.2, delay: 40 * time.Millisecond},
	}
	share := []float64{0, 0.15, 0.5, 1}[w.rng.IntN(4)]
	kind := kinds[w.rng.IntN(len(kinds))]
	for _, key := range slices.Sorted(maps.Keys(w.service)) {
		w.troubles[key] = trouble{}
		if w.rng.Float64() < share {
			w.troubles[key] = kind
		}
	}
}

// view returns the routes and replicas of a deployment: an index, a route with two
// weighted services, and one whose requests run at most once.
func (d deployment) view(w *world) *routing.View {
	c := &routing.Config{Version: 1, Services: map[string]routing.Service{}}
	var replicas []*routing.Replica
	add := func(service string, copies int) {
		for i := range copies {
			r := &routing.Replica{
				ID: fmt.Sprintf("%s-%d", service, i), Service: service, Address: fmt.Sprintf("%s-%d:1", service, i), Slots: 2,
				DataCentre: fmt.Sprint(i % d.centres),
			}
			replicas = append(replicas, r)
			w.service[r.Key()] = service
		}
	}
	index := routing.Route{
		Name: "index", Host: "x", Prefix: "/index/", Repeatable: true, Timeout: 12 * d.target, Target: d.target,
		MaxReplicas: d.attempts, TopRecords: 5, LeastShards: (d.shards*9 + 9) / 10,
	}
	for i := range d.shards {
		name := fmt.Sprintf("s%02d", i)
		index.Shards = append(index.Shards, name)
		add(name, d.copies)
	}
	add("one", d.copies+1)
	add("two", d.copies)
	c.Routes = []routing.Route{
		index,
		{Name: "safe", Host: "x", Prefix: "/safe/", Repeatable: true, Timeout: 3 * time.Second, Target: 4 * d.target, MaxReplicas: d.attempts, Parts: []routing.WeightedService{{Service: "one", Weight: 3}, {Service: "two", Weight: 1}}},
		{Name: "order", Host: "x", Prefix: "/order/", Timeout: 3 * time.Second, Target: 4 * d.target, MaxReplicas: d.attempts, Parts: []routing.WeightedService{{Service: "one", Weight: 1}}},
	}
	c.IndexRoutes()
	return routing.NewView(c, replicas, 0)
}

// answered is a request and what became of it.
type answered struct {
	id, path string
	sent     time.Duration
	took     time.Duration
	answer   gateway.Answer
}

// Whatever the deployment and whatever its replicas do, every request gets a true
// answer in time, and no rule on what reaches replicas is broken.
func TestRulesHoldOnOtherDeployments(t *testing.T) {
	for i, d := range deployments {
		t.Run(d.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { d.play(t, uint64(i+1)) })
		})
	}
}

func (d deployment) play(t *testing.T, seed uint64) {
	w := newWorld(seed)
	view := d.view(w)
	var mu sync.Mutex
	var all []answered
	for i, g := range d.start(w, view, seed) {
		go d.press(w, g, i, func(a answered) {
			mu.Lock()
			defer mu.Unlock()
			all = append(all, a)
		})
	}
	for w.now() < playedTime {
		w.disturb()
		time.Sleep(3 * time.Second)
	}
	time.Sleep(settleTime)
	mu.Lock()
	defer mu.Unlock()
	d.check(t, w, view, all)
}

func (d deployment) start(w *world, view *routing.View, seed uint64) []*gateway.Gateway {
	return d.startWith(w, view, seed, w)
}

// startWith starts the hosts of a deployment, whose attempts a sender carries.
func (d deployment) startWith(w *world, view *routing.View, seed uint64, sender gateway.Sender) []*gateway.Gateway {
	f := &fleet{hosts: map[string]*gateway.Gateway{}, asked: map[string]int{}}
	var peers []split.Peer
	for i := range d.hosts {
		peers = append(peers, split.Peer{Address: fmt.Sprintf("10.0.0.%d:1", i), DataCentre: fmt.Sprint(i % d.centres)})
	}
	var out []*gateway.Gateway
	for i, p := range peers {
		g := gateway.New(gateway.Config{
			DataCentre: p.DataCentre, Incarnation: uint64(i + 1), Now: w.now, Sender: sender, Recorder: silent{}, Self: p, Peers: f,
			Tuning: gateway.Tuning{Allowance: balance.Allowance{Ratio: d.ratio, Slack: d.slack, Window: budgetWindow}, CallerLatency: time.Millisecond},
		}, rand.New(rand.NewPCG(seed, uint64(i))))
		g.SetHosts(d.hosts)
		g.SetPeers(peers)
		g.SetView(view)
		f.hosts[p.Address] = g
		out = append(out, g)
	}
	return out
}

// press sends a host requests of all routes at a steady rate.
func (d deployment) press(w *world, g *gateway.Gateway, host int, took func(answered)) {
	paths := []string{"/index/a", "/safe/b", "/order/c"}
	time.Sleep(time.Duration(host) * time.Millisecond)
	for n := 0; w.now() < playedTime; n++ {
		a := answered{id: fmt.Sprintf("%d-%d", host, n), path: paths[n%len(paths)], sent: w.now()}
		go func() {
			a.answer = g.Serve(context.Background(), &gateway.Request{
				Message: dispatch.Message{ID: a.id, Method: "GET", Host: "x", Target: a.path}, Path: a.path,
			})
			a.took = w.now() - a.sent
			took(a)
		}()
		time.Sleep(time.Second / time.Duration(d.perSecond))
	}
}

// check compares what callers got with what replicas saw.
func (d deployment) check(t *testing.T, w *world, view *routing.View, all []answered) {
	ran := map[string]map[string]map[string]bool{} // by request and service, the replicas
	runs := map[string]int{}
	for _, a := range w.arrivals {
		if !a.ran {
			continue
		}
		runs[a.request]++
		if ran[a.request] == nil {
			ran[a.request] = map[string]map[string]bool{}
		}
		if ran[a.request][a.service] == nil {
			ran[a.request][a.service] = map[string]bool{}
		}
		ran[a.request][a.service][a.replica] = true
	}
	served := 0
	for i := range all {
		a := &all[i]
		route := view.Config.Match("x", a.path)
		if a.took > route.Timeout+answerSlack {
			t.Errorf("%s %s was answered after %v", a.id, route.Name, a.took)
		}
		for service, replicas := range ran[a.id] {
			if len(replicas) > d.attempts {
				t.Errorf("%s %s ran on %d replicas of %s", a.id, route.Name, len(replicas), service)
			}
		}
		if !route.Repeatable && runs[a.id] > 1 {
			t.Errorf("%s, which may run once, ran %d times", a.id, runs[a.id])
		}
		if a.answer.Code.Class() == result.ClassNotRun && a.answer.Response == nil && runs[a.id] > 0 {
			t.Errorf("%s %s was told %v, and ran", a.id, route.Name, a.answer.Code)
		}
		if len(a.answer.ShardResponses) > 0 {
			d.checkParts(t, w, a)
			served++
		}
		if a.answer.Response != nil && a.answer.Response.Status == 200 {
			served++
		}
	}
	if served < len(all)/4 {
		t.Errorf("%d of %d requests were served", served, len(all))
	}
	d.checkBudget(t, w, all, view)
}

// checkParts expects each shard once, enough of them, and a true number of missing
// ones.
func (d deployment) checkParts(t *testing.T, w *world, a *answered) {
	seen := map[string]bool{}
	for _, p := range a.answer.ShardResponses {
		service := w.service[p.Stamp]
		if seen[service] {
			t.Errorf("%s has two parts of %s", a.id, service)
		}
		seen[service] = true
	}
	if len(seen)+a.answer.MissingShards != d.shards || 10*len(seen) < 9*d.shards {
		t.Errorf("%s has %d parts of %d and says that %d are missing", a.id, len(seen), d.shards, a.answer.MissingShards)
	}
}

// checkBudget holds the extra arrivals of each service against the allowance in
// every window.
func (d deployment) checkBudget(t *testing.T, w *world, all []answered, view *routing.View) {
	requests := map[string][]time.Duration{}
	for _, a := range all {
		route := view.Config.Match("x", a.path)
		for _, s := range route.Shards {
			requests[s] = append(requests[s], a.sent)
		}
		for _, p := range route.Parts {
			requests[p.Service] = append(requests[p.Service], a.sent)
		}
	}
	first := map[string]bool{}
	extra := map[string][]time.Duration{}
	for _, a := range w.arrivals {
		if key := a.service + "/" + a.request; first[key] {
			extra[a.service] = append(extra[a.service], a.at)
		} else {
			first[key] = true
		}
	}
	for service, times := range extra {
		for _, begin := range times {
			n := within(times, begin, begin+budgetWindow)
			asked := max(within(requests[service], begin, begin+budgetWindow), within(requests[service], begin-budgetWindow, begin),
				within(requests[service], begin-budgetWindow/2, begin+budgetWindow/2))
			if float64(n) > d.ratio*float64(asked)+d.slack {
				t.Errorf("%s got %d extra arrivals in a window with %d requests", service, n, asked)
				break
			}
		}
	}
}

// within counts the times of a window.
func within(times []time.Duration, begin, end time.Duration) int {
	n := 0
	for _, at := range times {
		if at >= begin && at < end {
			n++
		}
	}
	return n
}

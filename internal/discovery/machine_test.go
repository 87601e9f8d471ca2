package discovery_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/catalog"
	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

const (
	step    = 10 * time.Millisecond
	latency = 10 * time.Millisecond
	// bound is half of the time in which a change must be in force.
	bound = 1500 * time.Millisecond
)

var errRefused = errors.New("refused")

// world steps the machines of a fleet against a store, from one clock.
type world struct {
	now   time.Duration
	rng   *rand.Rand
	hosts []*host
	// The store: its revision, the last change of each replica, and whom it
	// serves. History before oldest is gone.
	revision uint64
	version  uint64
	oldest   uint64
	log      []catalog.Entry
	changed  map[uint64]bool // revisions that changed the configuration
	down     func(h *host) bool
	// cut tells whether two hosts are partitioned.
	cut   func(a, b *host) bool
	calls int
	later []event
}

type event struct {
	at  time.Duration
	run func()
}

type host struct {
	address string
	machine *discovery.Machine
	view    *routing.View
	peers   []split.Peer
	frozen  bool
	dead    bool
}

func newWorld(n int, seed uint64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), revision: 1, version: 1, changed: map[uint64]bool{1: true},
		down: func(*host) bool { return false }, cut: func(_, _ *host) bool { return false },
	}
	for i := range n {
		w.hosts = append(w.hosts, &host{address: fmt.Sprintf("10.0.0.%d:1", i+1)})
		w.start(w.hosts[i])
	}
	return w
}

func (w *world) start(h *host) {
	seeds := []string{w.hosts[0].address, "10.9.9.9:1", w.hosts[len(w.hosts)/2].address}
	h.machine = discovery.NewMachine(discovery.Member{Address: h.address, DataCentre: "dc", Start: w.rng.Uint64()}, seeds, w.now, rand.New(rand.NewPCG(w.rng.Uint64(), 2)))
	h.view, h.dead, h.frozen = nil, false, false
}

func (w *world) after(d time.Duration, run func()) {
	w.later = append(w.later, event{at: w.now + d, run: run})
}

// run steps the world for a time.
func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += step {
		due := w.later
		w.later = nil
		for _, e := range due {
			if e.at <= w.now {
				e.run()
			} else {
				w.later = append(w.later, e)
			}
		}
		for _, h := range w.hosts {
			if !h.dead && !h.frozen && int(w.now/step)%10 == int(h.address[7])%10 {
				w.carryOut(h, h.machine.Tick(w.now))
			}
		}
	}
}

func (w *world) carryOut(h *host, a discovery.Actions) {
	if a.View != nil {
		h.view = a.View
	}
	if a.Peers != nil {
		h.peers = a.Peers
	}
	for _, o := range a.Send {
		w.after(latency, func() { w.deliver(h, o) })
	}
	if a.Read != nil {
		w.read(h, *a.Read)
	}
	if a.Fetch != "" {
		w.fetch(h, a.Fetch, a.Request)
	}
}

func (w *world) find(address string) *host {
	for _, h := range w.hosts {
		if h.address == address && !h.dead && !h.frozen {
			return h
		}
	}
	return nil
}

func (w *world) deliver(from *host, o discovery.Outgoing) {
	to := w.find(o.To)
	if to == nil || from.dead || w.cut(from, to) {
		return
	}
	w.carryOut(to, to.machine.Hello(w.now, o.Hello))
}

func (w *world) fetch(h *host, address string, r discovery.StateRequest) {
	machine := h.machine
	w.after(2*latency, func() {
		if h.dead || h.machine != machine {
			return
		}
		peer := w.find(address)
		if peer == nil || w.cut(h, peer) {
			w.carryOut(h, machine.Fetched(w.now, address, nil, errRefused))
			return
		}
		w.carryOut(h, machine.Fetched(w.now, address, peer.machine.State(w.now, r), nil))
	})
}

// read answers at once if there is a change, else after the wait.
func (w *world) read(h *host, r discovery.Read) {
	w.calls++
	machine, started := h.machine, w.now
	var poll func()
	poll = func() {
		if h.dead || h.machine != machine {
			return
		}
		waited := w.now - started
		if !w.down(h) && r.After > 0 && r.After >= w.revision && waited < r.Wait {
			w.after(step, poll)
			return
		}
		w.carryOut(h, machine.ReadDone(w.now, w.answer(h, r, started)))
	}
	w.after(latency, poll)
}

func (w *world) answer(h *host, r discovery.Read, started time.Duration) discovery.ReadResult {
	out := discovery.ReadResult{Read: r, Started: started, Revision: w.revision}
	switch {
	case w.down(h):
		out.Err = errRefused
	case r.After > 0 && r.After < w.oldest:
		out.Err = discovery.ErrHistoryCompacted
	}
	if out.Err != nil {
		return out
	}
	newest := map[string]catalog.Entry{}
	for _, e := range w.log {
		newest[e.ID] = e
	}
	for _, e := range newest {
		if e.Revision > r.After && (r.After > 0 || e.Replica != nil) {
			out.Entries = append(out.Entries, e)
		}
	}
	for revision := range w.changed {
		if revision > r.After {
			out.Config = w.config()
		}
	}
	return out
}

func (w *world) config() *routing.Config {
	c := &routing.Config{Version: w.version}
	c.IndexRoutes()
	return c
}

func (w *world) configure() {
	w.revision++
	w.version++
	w.changed[w.revision] = true
}

func (w *world) register(id string, leaving bool) {
	w.revision++
	w.log = append(w.log, catalog.Entry{ID: id, Revision: w.revision, Replica: &routing.Replica{ID: id, Address: id, Service: "s", Slots: 1, Leaving: leaving}})
}

// current tells whether a host has what the store holds.
func (w *world) current(h *host) bool {
	if h.view == nil || h.view.Config.Version != w.version {
		return false
	}
	want := map[string]bool{}
	for _, e := range w.log {
		want[e.ID] = !e.Replica.Leaving
	}
	n := 0
	for id, live := range want {
		if !live {
			continue
		}
		n++
		if h.view.Replicas[id+"@0"] == nil {
			return false
		}
	}
	return n == len(h.view.Replicas)
}

func (w *world) behind(hosts []*host) []string {
	var out []string
	for _, h := range hosts {
		if !h.dead && !w.current(h) {
			out = append(out, h.address)
		}
	}
	return out
}

func TestChangeIsInForceInHalfOfItsBound(t *testing.T) {
	for name, trouble := range map[string]func(w *world) (exempt int){
		"calm": func(*world) int { return 0 },
		"readers killed": func(w *world) int {
			for _, h := range w.hosts[:4] {
				h.dead = true
			}
			return 4
		},
		"readers frozen": func(w *world) int {
			for _, h := range w.hosts[:7] {
				h.frozen = true
			}
			return 7
		},
		"a third turned away by the store": func(w *world) int {
			w.down = func(h *host) bool { return h.address[len(h.address)-3] < '4' }
			return 0
		},
		"all but one turned away by the store": func(w *world) int {
			w.down = func(h *host) bool { return h != w.hosts[13] }
			return 0
		},
		"history gone": func(w *world) int {
			w.oldest = w.revision + 2
			return 0
		},
		"partitioned in halves": func(w *world) int {
			w.cut = func(a, b *host) bool { return (a.address < "10.0.0.3") != (b.address < "10.0.0.3") }
			return 0
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(10) {
				w := newWorld(14, seed)
				w.register("a", false)
				w.register("b", false)
				w.run(8 * time.Second)
				g.Expect(w.behind(w.hosts)).To(BeEmpty())
				exempt := trouble(w)
				w.run(time.Duration(w.rng.IntN(1000)) * time.Millisecond)
				w.configure()
				w.register("b", true)
				w.run(bound)
				g.Expect(w.behind(w.hosts[exempt:])).To(BeEmpty(), "seed %d", seed)
			}
		})
	}
}

// In steady state the fleet makes less than 0.1 calls a second for each host.
func TestFewHostsReadTheStore(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(14, 5)
	w.run(10 * time.Second)
	w.calls = 0
	w.run(60 * time.Second)
	g.Expect(w.calls).To(BeNumerically("<", 14*60/10))
}

// While the store is down, its callers hold back; once it is back, all know what
// changed meanwhile within two seconds.
func TestOutageOfTheStore(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(14, 6)
	w.register("a", false)
	w.run(8 * time.Second)
	w.down = func(*host) bool { return true }
	w.calls = 0
	w.run(20 * time.Second)
	g.Expect(w.calls).To(BeNumerically("<", 14*20))
	w.configure()
	w.register("a", true)
	w.down = func(*host) bool { return false }
	w.run(2 * time.Second)
	g.Expect(w.behind(w.hosts)).To(BeEmpty())
}

// A host that starts while the store is down learns everything from its peers.
func TestNewHostLearnsFromPeers(t *testing.T) {
	g := NewWithT(t)
	w := newWorld(14, 7)
	w.register("a", false)
	w.run(8 * time.Second)
	w.down = func(*host) bool { return true }
	w.run(3 * time.Second)
	w.start(w.hosts[9])
	w.run(bound)
	g.Expect(w.behind(w.hosts[9:10])).To(BeEmpty())
}

// The version in force on a host never goes back, whatever is lost, cut, frozen,
// restarted or refused meanwhile, and all hosts agree once that ends.
func TestNeverGoesBackAndConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(6, rapid.Uint64().Draw(t, "seed"))
		seen := map[*host]uint64{}
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			h := w.hosts[rapid.IntRange(0, 5).Draw(t, "host")]
			switch rapid.IntRange(0, 7).Draw(t, "event") {
			case 0:
				w.configure()
			case 1:
				w.register(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "id")), rapid.Bool().Draw(t, "leaving"))
			case 2:
				h.frozen = !h.frozen
			case 3:
				w.start(h)
				delete(seen, h)
			case 4:
				w.down = func(x *host) bool { return x == h }
			case 5:
				w.cut = func(a, b *host) bool { return (a == h) != (b == h) }
			case 6:
				w.oldest = w.revision
			}
			w.run(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			for _, h := range w.hosts {
				if h.view == nil {
					continue
				}
				if h.view.Config.Version < seen[h] {
					t.Fatalf("%s went back from %d to %d", h.address, seen[h], h.view.Config.Version)
				}
				seen[h] = h.view.Config.Version
			}
		}
		w.down = func(*host) bool { return false }
		w.cut = func(_, _ *host) bool { return false }
		for _, h := range w.hosts {
			h.frozen = false
		}
		w.run(6 * time.Second)
		if behind := w.behind(w.hosts); len(behind) > 0 {
			t.Fatalf("behind: %v", behind)
		}
	})
}

// New seeds are told of this host at its next heartbeat.
func TestSeedsMayChange(t *testing.T) {
	g := NewWithT(t)
	m := discovery.NewMachine(discovery.Member{Address: "127.0.0.1:1", DataCentre: "z", Start: 1}, []string{"127.0.0.1:2"}, 0, rand.New(rand.NewPCG(1, 1)))
	m.Tick(0)
	m.SetSeeds([]string{"127.0.0.1:1", "127.0.0.1:3"})
	var to []string
	for _, o := range m.Tick(time.Minute).Send {
		to = append(to, o.To)
	}
	g.Expect(to).To(Equal([]string{"127.0.0.1:3"}))
}

// The hosts of a large fleet know each other all the while, so that they agree on
// who serves what, and forget one that is gone.
func TestLargeFleetKnowsItself(t *testing.T) {
	for _, n := range []int{20, 60, 141} {
		t.Run(fmt.Sprint(n, " hosts"), func(t *testing.T) {
			g := NewWithT(t)
			w := newWorld(n, 3)
			w.run(15 * time.Second)
			lacking := 0
			for range 40 {
				w.run(500 * time.Millisecond)
				for _, h := range w.hosts {
					lacking += n - 1 - len(h.peers)
				}
			}
			g.Expect(lacking).To(BeZero())

			gone := w.hosts[n/3]
			gone.dead = true
			w.run(goneWithin)
			for _, h := range w.hosts {
				if h != gone {
					g.Expect(h.peers).NotTo(ContainElement(HaveField("Address", gone.address)))
				}
			}
		})
	}
}

// goneWithin is the time in which all hosts forget one that ended without a word.
const goneWithin = 12 * time.Second

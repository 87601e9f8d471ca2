package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

func TestQuarantine(t *testing.T) { testsuite.RunSpecs(t, "quarantine") }

const (
	suspectTTL    = 20 * time.Second
	quarantineTTL = 40 * time.Second
	request       = view.Fingerprint(7)
)

func testConfig(maxRequests int) Config {
	return Config{SuspectTTL: suspectTTL, QuarantineTTL: quarantineTTL, MaxRequests: maxRequests}
}

// crash is a crash that the oracle saw. It spans the hosts.
type crash struct {
	host     int
	endpoint string
	alone    bool
	at       time.Duration
}

// sent is a gossip message under way.
type sent struct {
	hints []peerwire.SuspectHint
	at    time.Duration
}

// fleet is hosts that send requests to endpoints, some of which crash them.
type fleet struct {
	t        *rapid.T
	hosts    []*Tracker
	now      time.Duration
	max      int
	messages []sent
	crashes  map[view.Fingerprint][]crash
}

const (
	guiltyRequests = 3
	requests       = 8
	endpoints      = 4
	fleetHosts     = 3
)

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, crashes: make(map[view.Fingerprint][]crash)}
	f.max = rapid.SampledFrom([]int{4, 100}).Draw(t, "max")
	for range fleetHosts {
		f.hosts = append(f.hosts, New(testConfig(f.max)))
	}
	return f
}

// run sends requests to one endpoint as a host may: no quarantined ones, and
// suspects alone. The endpoint crashes if one is guilty, or by chance.
func (f *fleet) run(*rapid.T) {
	h := rapid.IntRange(0, fleetHosts-1).Draw(f.t, "host")
	set := f.hosts[h]
	set.Tick(f.now)
	drawn := rapid.SliceOfNDistinct(rapid.IntRange(1, requests), 1, 3, rapid.ID[int]).Draw(f.t, "requests")
	var batch []view.Fingerprint
	for _, r := range drawn {
		fp := view.Fingerprint(r)
		switch set.Degree(fp) {
		case view.Innocent:
			batch = append(batch, fp)
		case view.Suspected:
			f.send(h, []view.Fingerprint{fp}, true)
		}
	}
	if len(batch) > 0 {
		f.send(h, batch, false)
	}
}

func (f *fleet) send(h int, batch []view.Fingerprint, alone bool) {
	set := f.hosts[h]
	endpoint := fmt.Sprint("e", rapid.IntRange(1, endpoints).Draw(f.t, "endpoint"))
	guilty := slices.ContainsFunc(batch, func(fp view.Fingerprint) bool { return fp <= guiltyRequests })
	if !guilty && rapid.IntRange(0, 9).Draw(f.t, "chance") > 0 {
		if alone {
			set.RecordRecovery(f.now, batch)
			if set.Degree(batch[0]) != view.Innocent {
				f.t.Fatalf("%d recovered and is still %d", batch[0], set.Degree(batch[0]))
			}
		}
		return
	}
	set.RecordCrash(f.now, view.Crash{Endpoint: endpoint, InFlight: batch, Alone: alone})
	for _, fp := range batch {
		f.crashes[fp] = append(f.crashes[fp], crash{host: h, endpoint: endpoint, alone: alone, at: f.now})
	}
	f.checkProven(h, batch[0], endpoint, alone)
}

// checkProven requires a quarantine at once after a crash alone, if the same
// host saw the request at the crash of another endpoint shortly before.
func (f *fleet) checkProven(h int, fp view.Fingerprint, endpoint string, alone bool) {
	before := slices.ContainsFunc(f.crashes[fp], func(c crash) bool {
		return c.host == h && c.endpoint != endpoint && f.now-c.at < suspectTTL
	})
	if alone && before && f.max > requests && f.hosts[h].Degree(fp) != view.Quarantined {
		f.t.Fatalf("%d crashed a second endpoint alone and is %d", fp, f.hosts[h].Degree(fp))
	}
}

func (f *fleet) gossip(*rapid.T) {
	from := rapid.SampledFrom(f.hosts).Draw(f.t, "from")
	f.messages = append(f.messages, sent{hints: from.Hints(f.now, 5), at: f.now})
}

// deliver hands over any message again and again while it is younger than the
// cost of a hop.
func (f *fleet) deliver(*rapid.T) {
	f.messages = slices.DeleteFunc(f.messages, func(m sent) bool { return f.now-m.at > HopCost })
	if len(f.messages) == 0 {
		f.t.Skip("no message")
	}
	m := rapid.SampledFrom(f.messages).Draw(f.t, "message")
	rapid.SampledFrom(f.hosts).Draw(f.t, "to").MergeHints(f.now, m.hints)
}

func (f *fleet) wait(*rapid.T) {
	ms := rapid.SampledFrom([]int{300, 300, 1000, 5000, 25_000}).Draw(f.t, "ms")
	f.now += time.Duration(ms) * time.Millisecond
}

// check requires for each suspicion a crash that explains it and is not older
// than the suspicion may last.
func (f *fleet) check(t *rapid.T) {
	for _, set := range f.hosts {
		set.Tick(f.now)
		if set.Len() > f.max {
			t.Fatalf("%d requests are recorded", set.Len())
		}
		for fp, degree := range set.Degrees() {
			if !f.explained(fp, degree) {
				t.Fatalf("at %v, %d is %d after %v", f.now, fp, degree, f.crashes[fp])
			}
		}
	}
}

func (f *fleet) explained(fp view.Fingerprint, degree view.Suspicion) bool {
	crashes := f.crashes[fp]
	if len(crashes) == 0 {
		return false
	}
	age := f.now - crashes[len(crashes)-1].at
	wasProven := slices.ContainsFunc(crashes, func(c crash) bool {
		return c.alone && slices.ContainsFunc(crashes, func(o crash) bool { return o.endpoint != c.endpoint && o.at <= c.at })
	})
	if degree == view.Quarantined {
		return wasProven && age < quarantineTTL
	}
	return age < suspectTTL || (wasProven && age < quarantineTTL+suspectTTL)
}

// Every suspicion has its cause, ends in time on all hosts, and memory is
// bounded, whatever the order of crashes, recoveries and gossip.
func TestSuspicionIsCausedAndEnds(t *testing.T) {
	const repeats = 10
	testsuite.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range repeats {
			t.Repeat(map[string]func(*rapid.T){
				"run": f.run, "run more": f.run, "gossip": f.gossip, "deliver": f.deliver, "deliver more": f.deliver,
				"wait": f.wait, "": f.check,
			})
		}
	})
}

func crashOf(endpoint string, alone bool, fps ...view.Fingerprint) view.Crash {
	return view.Crash{Endpoint: endpoint, InFlight: fps, Alone: alone}
}

var provenHint = peerwire.SuspectHint{Fingerprint: request, Endpoints: []string{"a", "b"}, Proven: true, TTL: quarantineTTL + suspectTTL}

var _ = DescribeTable("the suspicion of a request after",
	func(events func(s *Tracker), degree view.Suspicion) {
		s := New(testConfig(100))
		events(s)
		Expect(s.Degree(request)).To(Equal(degree))
	},
	Entry("nothing", func(*Tracker) {}, view.Innocent),
	Entry("a crash in company", func(s *Tracker) { s.RecordCrash(0, crashOf("a", false, request, 8)) }, view.Suspected),
	Entry("two crashes in company", func(s *Tracker) {
		s.RecordCrash(0, crashOf("a", false, request, 8))
		s.RecordCrash(0, crashOf("b", false, request, 9))
	}, view.Suspected),
	Entry("two crashes of the same endpoint", func(s *Tracker) {
		s.RecordCrash(0, crashOf("a", false, request))
		s.RecordCrash(0, crashOf("a", true, request))
	}, view.Suspected),
	Entry("a second crash alone", func(s *Tracker) {
		s.RecordCrash(0, crashOf("a", false, request, 8))
		s.RecordCrash(0, crashOf("b", true, request))
	}, view.Quarantined),
	Entry("a second crash that claims to be alone with two in flight", func(s *Tracker) {
		s.RecordCrash(0, crashOf("a", false, request))
		s.RecordCrash(0, crashOf("b", true, request, 8))
	}, view.Suspected),
	Entry("a crash seen by another host and one alone here", func(s *Tracker) {
		s.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, Endpoints: []string{"a"}, TTL: suspectTTL}})
		s.RecordCrash(0, crashOf("b", true, request))
	}, view.Quarantined),
	Entry("its recovery", func(s *Tracker) {
		s.RecordCrash(0, crashOf("a", false, request, 8))
		s.RecordRecovery(0, []view.Fingerprint{request})
	}, view.Innocent),
	Entry("its recovery and an old hint of the same crash", func(s *Tracker) {
		s.RecordCrash(0, crashOf("a", false, request, 8))
		s.RecordRecovery(0, []view.Fingerprint{request})
		s.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, Endpoints: []string{"a"}, TTL: suspectTTL}})
	}, view.Innocent),
	Entry("its recovery and a hint of another crash", func(s *Tracker) {
		s.RecordCrash(0, crashOf("a", false, request, 8))
		s.RecordRecovery(0, []view.Fingerprint{request})
		s.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, Endpoints: []string{"b"}, TTL: suspectTTL}})
	}, view.Suspected),
	Entry("its recovery at another host", func(s *Tracker) {
		s.RecordCrash(0, crashOf("a", false, request, 8))
		s.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, Endpoints: []string{"a"}, Cleared: true, TTL: suspectTTL}})
	}, view.Innocent),
	Entry("its recovery at a host that knows fewer crashes", func(s *Tracker) {
		s.RecordCrash(0, crashOf("a", false, request, 8))
		s.RecordCrash(0, crashOf("b", false, request, 8))
		s.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, Endpoints: []string{"a"}, Cleared: true, TTL: suspectTTL}})
	}, view.Suspected),
	Entry("a recovery in quarantine", func(s *Tracker) {
		s.MergeHints(0, []peerwire.SuspectHint{provenHint})
		s.RecordRecovery(0, []view.Fingerprint{request})
	}, view.Quarantined),
	Entry("a hint that claims proof by one endpoint", func(s *Tracker) {
		s.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, Endpoints: []string{"a", "a"}, Proven: true, TTL: suspectTTL}})
	}, view.Suspected),
	Entry("a hint without a crash", func(s *Tracker) {
		s.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, TTL: suspectTTL}})
	}, view.Innocent),
	Entry("a hint with a life beyond any crash, once that has passed", func(s *Tracker) {
		s.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, Endpoints: []string{"a"}, TTL: time.Hour}})
		s.Tick(suspectTTL - HopCost)
	}, view.Innocent),
	Entry("an old proof that would shorten a fresh suspicion", func(s *Tracker) {
		s.RecordCrash(0, crashOf("c", false, request, 8))
		old := provenHint
		old.TTL = 2 * HopCost
		s.MergeHints(0, []peerwire.SuspectHint{old})
		s.Tick(suspectTTL / 2)
	}, view.Suspected),
	Entry("the end of its quarantine", func(s *Tracker) {
		s.MergeHints(0, []peerwire.SuspectHint{provenHint})
		s.Tick(quarantineTTL)
	}, view.Suspected),
	Entry("the end of the suspicion after it", func(s *Tracker) {
		s.MergeHints(0, []peerwire.SuspectHint{provenHint})
		s.Tick(quarantineTTL + suspectTTL)
	}, view.Innocent),
)

var _ = Describe("the set", func() {
	It("evicts the cleared first, then suspects, then the proven", func() {
		s := New(testConfig(2))
		s.MergeHints(0, []peerwire.SuspectHint{provenHint})
		s.RecordCrash(0, crashOf("a", false, 8))
		s.RecordRecovery(0, []view.Fingerprint{8})
		s.RecordCrash(0, crashOf("a", false, 9))
		s.RecordCrash(time.Second, crashOf("a", false, 10))
		Expect(s.Degrees()).To(Equal(map[view.Fingerprint]view.Suspicion{request: view.Quarantined, 10: view.Suspected}))
	})

	It("gives the gravest hints first", func() {
		s := New(testConfig(100))
		s.RecordCrash(0, crashOf("a", false, 8, 9))
		s.RecordRecovery(0, []view.Fingerprint{9})
		s.MergeHints(0, []peerwire.SuspectHint{provenHint})
		var order []view.Fingerprint
		for _, h := range s.Hints(0, 3) {
			order = append(order, h.Fingerprint)
		}
		Expect(order).To(Equal([]view.Fingerprint{request, 8, 9}))
		Expect(s.Hints(0, 1)[0].TTL).To(Equal(provenHint.TTL - HopCost))
	})

	It("keeps suspects from the last replica and the quarantined from all", func() {
		Expect(MayRun(view.Innocent, 1)).To(BeTrue())
		Expect(MayRun(view.Suspected, 1)).To(BeFalse())
		Expect(MayRun(view.Suspected, 2)).To(BeTrue())
		Expect(MayRun(view.Quarantined, 9)).To(BeFalse())
	})

	It("tells requests apart by service and content", func() {
		same := Fingerprint("desk", "Gel  Pack\t40 g ")
		Expect(Fingerprint("desk", "gel pack 40 G")).To(Equal(same))
		Expect(Fingerprint("desk", "gel pack 40g")).NotTo(Equal(same))
		Expect(Fingerprint("desk gel", "pack 40 g")).NotTo(Equal(same))
	})
})

func BenchmarkHints(b *testing.B) {
	s := New(Config{})
	for i := range defaultMaxRequests {
		s.RecordCrash(time.Duration(i), crashOf("a", false, view.Fingerprint(i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		s.Hints(0, 16)
	}
}

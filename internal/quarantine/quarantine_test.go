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

// crash is a crash as recorded by the test, across all hosts.
type crash struct {
	host     int
	endpoint string
	alone    bool
	at       time.Duration
}

// gossipMessage is a message with hints that was sent and may still be
// delivered.
type gossipMessage struct {
	hints []peerwire.SuspectHint
	at    time.Duration
}

// fleet simulates hosts that send requests to endpoints and exchange hints. Some
// of the requests crash the endpoints.
type fleet struct {
	t     *rapid.T
	hosts []*Tracker
	now   time.Duration
	// max is the MaxRequests of each host.
	max      int
	messages []gossipMessage
	crashes  map[view.Fingerprint][]crash
}

const (
	// The requests with fingerprints 1 to crashingRequests crash every endpoint
	// that runs them.
	crashingRequests = 3
	requests         = 8
	endpoints        = 4
	fleetHosts       = 3
)

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, crashes: make(map[view.Fingerprint][]crash)}
	f.max = rapid.SampledFrom([]int{4, 100}).Draw(t, "max")
	for range fleetHosts {
		f.hosts = append(f.hosts, New(testConfig(f.max)))
	}
	return f
}

// dispatch sends requests to endpoints under the rules for hosts: quarantined
// requests are not sent, and suspects run alone.
func (f *fleet) dispatch(*rapid.T) {
	h := rapid.IntRange(0, fleetHosts-1).Draw(f.t, "host")
	tracker := f.hosts[h]
	tracker.Tick(f.now)
	drawn := rapid.SliceOfNDistinct(rapid.IntRange(1, requests), 1, 3, rapid.ID[int]).Draw(f.t, "requests")
	var batch []view.Fingerprint
	for _, r := range drawn {
		fp := view.Fingerprint(r)
		switch tracker.Degree(fp) {
		case view.NotSuspected:
			batch = append(batch, fp)
		case view.Suspected:
			f.send(h, []view.Fingerprint{fp}, true)
		}
	}
	if len(batch) > 0 {
		f.send(h, batch, false)
	}
}

// send runs requests on one endpoint, which crashes if one of them is a crashing
// request, or at random.
func (f *fleet) send(h int, batch []view.Fingerprint, alone bool) {
	tracker := f.hosts[h]
	endpoint := fmt.Sprint("e", rapid.IntRange(1, endpoints).Draw(f.t, "endpoint"))
	causesCrash := slices.ContainsFunc(batch, func(fp view.Fingerprint) bool { return fp <= crashingRequests })
	if !causesCrash && rapid.IntRange(0, 9).Draw(f.t, "chance") > 0 {
		if alone {
			tracker.RecordRecovery(f.now, batch)
			if tracker.Degree(batch[0]) != view.NotSuspected {
				f.t.Fatalf("request %d recovered but its degree is %d", batch[0], tracker.Degree(batch[0]))
			}
		}
		return
	}
	tracker.RecordCrash(f.now, view.Crash{Endpoint: endpoint, InFlight: batch, Isolated: alone})
	for _, fp := range batch {
		f.crashes[fp] = append(f.crashes[fp], crash{host: h, endpoint: endpoint, alone: alone, at: f.now})
	}
	f.checkProven(h, batch[0], endpoint, alone)
}

// checkProven requires that a host quarantines a request as soon as an endpoint
// crashes while the request runs alone, if the same host recently saw another
// endpoint crash while it ran the request.
func (f *fleet) checkProven(h int, fp view.Fingerprint, endpoint string, alone bool) {
	seenBefore := slices.ContainsFunc(f.crashes[fp], func(c crash) bool {
		return c.host == h && c.endpoint != endpoint && f.now-c.at < suspectTTL
	})
	if alone && seenBefore && f.max > requests && f.hosts[h].Degree(fp) != view.Quarantined {
		f.t.Fatalf("request %d crashed a second endpoint alone but its degree is %d", fp, f.hosts[h].Degree(fp))
	}
}

// gossip sends the hints of one host, to be delivered to others.
func (f *fleet) gossip(*rapid.T) {
	from := rapid.SampledFrom(f.hosts).Draw(f.t, "from")
	f.messages = append(f.messages, gossipMessage{hints: from.Hints(f.now, 5), at: f.now})
}

// deliver merges one of the messages into a host. Messages are delivered any
// number of times until they are older than HopCost.
func (f *fleet) deliver(*rapid.T) {
	f.messages = slices.DeleteFunc(f.messages, func(m gossipMessage) bool { return f.now-m.at > HopCost })
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

// check requires that each suspicion is explained by a crash that is recent
// enough.
func (f *fleet) check(t *rapid.T) {
	for _, tracker := range f.hosts {
		tracker.Tick(f.now)
		if tracker.Len() > f.max {
			t.Fatalf("%d requests are recorded, more than the limit", tracker.Len())
		}
		for fp, degree := range tracker.Degrees() {
			if !f.explained(fp, degree) {
				t.Fatalf("at %v, request %d has degree %d, which is not explained by the crashes %v", f.now, fp, degree, f.crashes[fp])
			}
		}
	}
}

// explained reports whether the crashes of a request justify its degree of
// suspicion now.
func (f *fleet) explained(fp view.Fingerprint, degree view.Suspicion) bool {
	crashes := f.crashes[fp]
	if len(crashes) == 0 {
		return false
	}
	age := f.now - crashes[len(crashes)-1].at
	mayBeProven := slices.ContainsFunc(crashes, func(c crash) bool {
		return c.alone && slices.ContainsFunc(crashes, func(o crash) bool { return o.endpoint != c.endpoint && o.at <= c.at })
	})
	if degree == view.Quarantined {
		return mayBeProven && age < quarantineTTL
	}
	return age < suspectTTL || (mayBeProven && age < quarantineTTL+suspectTTL)
}

// TestSuspicionsAreExplainedAndExpire checks that every suspicion is explained
// by a crash and expires in time on all hosts, and that memory is bounded, for
// any order of crashes, recoveries and hints.
func TestSuspicionsAreExplainedAndExpire(t *testing.T) {
	const repeats = 10
	testsuite.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		for range repeats {
			t.Repeat(map[string]func(*rapid.T){
				"run": f.dispatch, "run more": f.dispatch, "gossip": f.gossip, "deliver": f.deliver, "deliver more": f.deliver,
				"wait": f.wait, "": f.check,
			})
		}
	})
}

func crashOf(endpoint string, alone bool, fps ...view.Fingerprint) view.Crash {
	return view.Crash{Endpoint: endpoint, InFlight: fps, Isolated: alone}
}

var provenHint = peerwire.SuspectHint{Fingerprint: request, Endpoints: []string{"a", "b"}, Proven: true, TTL: quarantineTTL + suspectTTL}

var _ = DescribeTable("the degree of suspicion of a request after",
	func(events func(t *Tracker), degree view.Suspicion) {
		t := New(testConfig(100))
		events(t)
		Expect(t.Degree(request)).To(Equal(degree))
	},
	Entry("nothing", func(*Tracker) {}, view.NotSuspected),
	Entry("a crash with other requests in flight", func(t *Tracker) { t.RecordCrash(0, crashOf("a", false, request, 8)) }, view.Suspected),
	Entry("two crashes with other requests in flight", func(t *Tracker) {
		t.RecordCrash(0, crashOf("a", false, request, 8))
		t.RecordCrash(0, crashOf("b", false, request, 9))
	}, view.Suspected),
	Entry("two crashes of the same endpoint", func(t *Tracker) {
		t.RecordCrash(0, crashOf("a", false, request))
		t.RecordCrash(0, crashOf("a", true, request))
	}, view.Suspected),
	Entry("a second crash alone", func(t *Tracker) {
		t.RecordCrash(0, crashOf("a", false, request, 8))
		t.RecordCrash(0, crashOf("b", true, request))
	}, view.Quarantined),
	Entry("a second crash reported as alone with two requests in flight", func(t *Tracker) {
		t.RecordCrash(0, crashOf("a", false, request))
		t.RecordCrash(0, crashOf("b", true, request, 8))
	}, view.Suspected),
	Entry("a crash seen by another host and a crash alone on this host", func(t *Tracker) {
		t.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, Endpoints: []string{"a"}, TTL: suspectTTL}})
		t.RecordCrash(0, crashOf("b", true, request))
	}, view.Quarantined),
	Entry("its recovery", func(t *Tracker) {
		t.RecordCrash(0, crashOf("a", false, request, 8))
		t.RecordRecovery(0, []view.Fingerprint{request})
	}, view.NotSuspected),
	Entry("its recovery and an old hint of the same crash", func(t *Tracker) {
		t.RecordCrash(0, crashOf("a", false, request, 8))
		t.RecordRecovery(0, []view.Fingerprint{request})
		t.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, Endpoints: []string{"a"}, TTL: suspectTTL}})
	}, view.NotSuspected),
	Entry("its recovery and a hint of another crash", func(t *Tracker) {
		t.RecordCrash(0, crashOf("a", false, request, 8))
		t.RecordRecovery(0, []view.Fingerprint{request})
		t.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, Endpoints: []string{"b"}, TTL: suspectTTL}})
	}, view.Suspected),
	Entry("its recovery on another host", func(t *Tracker) {
		t.RecordCrash(0, crashOf("a", false, request, 8))
		t.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, Endpoints: []string{"a"}, Cleared: true, TTL: suspectTTL}})
	}, view.NotSuspected),
	Entry("its recovery on a host that knows fewer crashes", func(t *Tracker) {
		t.RecordCrash(0, crashOf("a", false, request, 8))
		t.RecordCrash(0, crashOf("b", false, request, 8))
		t.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, Endpoints: []string{"a"}, Cleared: true, TTL: suspectTTL}})
	}, view.Suspected),
	Entry("a recovery while quarantined", func(t *Tracker) {
		t.MergeHints(0, []peerwire.SuspectHint{provenHint})
		t.RecordRecovery(0, []view.Fingerprint{request})
	}, view.Quarantined),
	Entry("a hint of a proven request with only one endpoint", func(t *Tracker) {
		t.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, Endpoints: []string{"a", "a"}, Proven: true, TTL: suspectTTL}})
	}, view.Suspected),
	Entry("a hint without a crash", func(t *Tracker) {
		t.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, TTL: suspectTTL}})
	}, view.NotSuspected),
	Entry("a hint with a TTL above SuspectTTL, once SuspectTTL less HopCost has passed", func(t *Tracker) {
		t.MergeHints(0, []peerwire.SuspectHint{{Fingerprint: request, Endpoints: []string{"a"}, TTL: time.Hour}})
		t.Tick(suspectTTL - HopCost)
	}, view.NotSuspected),
	Entry("a hint of a proven request that expires before the fresh suspicion", func(t *Tracker) {
		t.RecordCrash(0, crashOf("c", false, request, 8))
		expiring := provenHint
		expiring.TTL = 2 * HopCost
		t.MergeHints(0, []peerwire.SuspectHint{expiring})
		t.Tick(suspectTTL / 2)
	}, view.Suspected),
	Entry("the end of its quarantine", func(t *Tracker) {
		t.MergeHints(0, []peerwire.SuspectHint{provenHint})
		t.Tick(quarantineTTL)
	}, view.Suspected),
	Entry("the end of the suspicion after its quarantine", func(t *Tracker) {
		t.MergeHints(0, []peerwire.SuspectHint{provenHint})
		t.Tick(quarantineTTL + suspectTTL)
	}, view.NotSuspected),
)

var _ = Describe("the tracker", func() {
	It("evicts cleared requests first, then suspects, then proven ones", func() {
		t := New(testConfig(2))
		t.MergeHints(0, []peerwire.SuspectHint{provenHint})
		t.RecordCrash(0, crashOf("a", false, 8))
		t.RecordRecovery(0, []view.Fingerprint{8})
		t.RecordCrash(0, crashOf("a", false, 9))
		t.RecordCrash(time.Second, crashOf("a", false, 10))
		Expect(t.Degrees()).To(Equal(map[view.Fingerprint]view.Suspicion{request: view.Quarantined, 10: view.Suspected}))
	})

	It("returns the hints of the highest rank first", func() {
		t := New(testConfig(100))
		t.RecordCrash(0, crashOf("a", false, 8, 9))
		t.RecordRecovery(0, []view.Fingerprint{9})
		t.MergeHints(0, []peerwire.SuspectHint{provenHint})
		var order []view.Fingerprint
		for _, h := range t.Hints(0, 3) {
			order = append(order, h.Fingerprint)
		}
		Expect(order).To(Equal([]view.Fingerprint{request, 8, 9}))
		Expect(t.Hints(0, 1)[0].TTL).To(Equal(provenHint.TTL - HopCost))
	})

	It("allows suspects only if two replicas are eligible and quarantined requests never", func() {
		Expect(MayRun(view.NotSuspected, 1)).To(BeTrue())
		Expect(MayRun(view.Suspected, 1)).To(BeFalse())
		Expect(MayRun(view.Suspected, 2)).To(BeTrue())
		Expect(MayRun(view.Quarantined, 9)).To(BeFalse())
	})

	It("identifies requests by service and normalized content", func() {
		same := Fingerprint("desk", "Gel  Pack\t40 g ")
		Expect(Fingerprint("desk", "gel pack 40 G")).To(Equal(same))
		Expect(Fingerprint("desk", "gel pack 40g")).NotTo(Equal(same))
		Expect(Fingerprint("desk gel", "pack 40 g")).NotTo(Equal(same))
	})
})

func BenchmarkHints(b *testing.B) {
	t := New(Config{})
	for i := range defaultMaxRequests {
		t.RecordCrash(time.Duration(i), crashOf("a", false, view.Fingerprint(i)))
	}
	b.ReportAllocs()
	for b.Loop() {
		t.Hints(0, 16)
	}
}

package permit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

func TestPermit(t *testing.T) { testsuite.RunSpecs(t, "permit") }

// sequencesPerSimulation is the number of action sequences that run one after
// another in the same simulation.
const sequencesPerSimulation = 30

// TestAtMostOnce checks a simulation with crashes, partitions, lost, late and
// repeated replies: the endpoint runs a permit at most once, a request answered as
// not run never runs, and a repeated submit gets the outcome of the first one.
func TestAtMostOnce(t *testing.T) {
	testsuite.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		for range sequencesPerSimulation {
			t.Repeat(map[string]func(*rapid.T){
				"new permit": sim.issue, "submit": sim.submit, "repeat": sim.submit, "begin": sim.beginAttempt, "begin again": sim.beginAttempt,
				"end as not run": sim.burn, "timeout": sim.timeOutAttempt, "attempt arrives": sim.deliverAttempt, "reply": sim.deliverReply, "late reply": sim.deliverReply,
				"pause": sim.advanceClock, "partition": sim.togglePartition, "crash": sim.crashHost, "stop": sim.stopHost, "": sim.checkInvariants,
			})
		}
	})
}

var (
	issuer      = view.Incarnation{Address: "10.0.0.1:7000", Start: 7}
	replacement = view.Incarnation{Address: "10.0.0.1:7000", Start: 8}
	otherHost   = view.Incarnation{Address: "10.0.0.2:7000", Start: 9}
)

// issuePermit issues one permit of the test service at time zero.
func issuePermit(l *Ledger) ID {
	ids, err := l.Issue(0, testService(), 1, rand.New(rand.NewPCG(3, 4)))
	Expect(err).NotTo(HaveOccurred())
	return ids[0]
}

// begin submits a permit with body hash 1, begins an attempt and returns
// its number.
func begin(l *Ledger, id ID) uint32 {
	Expect(l.Submit(0, id, 1)).To(Equal(Decision{Verdict: Dispatch}))
	attempt, err := l.BeginAttempt(0, id)
	Expect(err).To(BeNil())
	return attempt
}

var _ = ginkgo.DescribeTable("decides on a submit after",
	func(prepare func(l *Ledger, id ID) ID, verdict Verdict, code result.Code) {
		l := New(issuer, Config{MaxOutcomeBytes: 4})
		id := prepare(l, issuePermit(l))
		d := l.Submit(l.now, id, 1)
		Expect(d.Verdict).To(Equal(verdict))
		Expect(d.Code).To(Equal(code))
	},
	ginkgo.Entry("the issue of the permit", func(_ *Ledger, id ID) ID { return id }, Dispatch, result.Code(0)),
	ginkgo.Entry("the nonce was guessed", func(_ *Ledger, id ID) ID { id.Nonce++; return id }, Refuse, result.PermitNeverIssued),
	ginkgo.Entry("the service was changed", func(_ *Ledger, id ID) ID { id.Service = "x"; return id }, Refuse, result.PermitNeverIssued),
	ginkgo.Entry("the sequence was changed to one not yet issued", func(_ *Ledger, id ID) ID { id.Sequence++; return id }, Refuse, result.PermitNeverIssued),
	ginkgo.Entry("the sequence was changed to zero", func(_ *Ledger, id ID) ID { id.Sequence = 0; return id }, Refuse, result.PermitNeverIssued),
	ginkgo.Entry("the issuer was replaced", func(_ *Ledger, id ID) ID { id.Issuer = replacement; return id }, Refuse, result.IssuerReplaced),
	ginkgo.Entry("another host issued the permit", func(_ *Ledger, id ID) ID { id.Issuer = otherHost; return id }, Forward, result.Code(0)),
	ginkgo.Entry("the lifetime has passed", func(l *Ledger, id ID) ID { l.Tick(testLifetime); return id }, Replay, result.PermitExpired),
	ginkgo.Entry("the lifetime and the retention have passed", func(l *Ledger, id ID) ID {
		l.Tick(testLifetime)
		l.Tick(testLifetime + testRetention)
		return id
	}, Refuse, result.OutcomeForgotten),
	ginkgo.Entry("the lifetime has passed and the clock went back", func(l *Ledger, id ID) ID { l.Tick(testLifetime); l.Tick(0); return id }, Replay, result.PermitExpired),
	ginkgo.Entry("a submit with a different body", func(l *Ledger, id ID) ID { l.Submit(0, id, 2); return id }, Refuse, result.PermitBodyMismatch),
	ginkgo.Entry("a submit that has not begun an attempt", func(l *Ledger, id ID) ID { l.Submit(0, id, 1); return id }, Running, result.StillRunning),
	ginkgo.Entry("an attempt has begun", func(l *Ledger, id ID) ID { begin(l, id); return id }, Running, result.StillRunning),
	ginkgo.Entry("an attempt exceeded its maximum run time", func(l *Ledger, id ID) ID { begin(l, id); l.Tick(defaultMaxRun); return id }, Replay, result.OutcomeUnknown),
	ginkgo.Entry("the host has stopped", func(l *Ledger, id ID) ID { l.Stop(0); return id }, Replay, result.PermitBurnt),
	ginkgo.Entry("the request failed", func(l *Ledger, id ID) ID { l.EndAttempt(0, id, begin(l, id), result.EndpointFailed, ""); return id }, Replay, result.EndpointFailed),
	ginkgo.Entry("a begun attempt was ended with a code of class not-run", func(l *Ledger, id ID) ID {
		l.EndAttempt(0, id, begin(l, id), result.EndpointShed, "")
		return id
	}, Replay, result.OutcomeUnknown),
	ginkgo.Entry("the lifetime passed between the first submit and the attempt", func(l *Ledger, id ID) ID {
		l.Submit(0, id, 1)
		_, err := l.BeginAttempt(testLifetime, id)
		Expect(err.Code).To(Equal(result.PermitExpired))
		return id
	}, Replay, result.PermitExpired),
	ginkgo.Entry("the permit was burnt after its lifetime had passed", func(l *Ledger, id ID) ID {
		l.Submit(0, id, 1)
		Expect(l.Burn(testLifetime, id, result.AllRefused)).To(BeTrue())
		return id
	}, Replay, result.PermitExpired),
	ginkgo.Entry("a late reply replaced an unknown outcome", func(l *Ledger, id ID) ID {
		attempt := begin(l, id)
		l.EndAttempt(0, id, attempt, result.OutcomeUnknown, "")
		Expect(l.EndAttempt(0, id, attempt, result.Done, "ok")).To(BeTrue())
		Expect(l.RecordRefusal(0, id, attempt, result.EndpointShed)).To(BeFalse())
		return id
	}, Replay, result.Replayed),
	ginkgo.Entry("a duplicate refusal of an earlier attempt arrived late", func(l *Ledger, id ID) ID {
		first := begin(l, id)
		Expect(l.RecordRefusal(0, id, first, result.EndpointShed)).To(BeTrue())
		_, err := l.BeginAttempt(0, id)
		Expect(err).To(BeNil())
		Expect(l.RecordRefusal(0, id, first, result.EndpointShed)).To(BeFalse())
		_, err = l.BeginAttempt(0, id)
		Expect(err.Code).To(Equal(result.StillRunning))
		Expect(l.Burn(0, id, result.AllRefused)).To(BeFalse())
		return id
	}, Running, result.StillRunning),
)

var _ = ginkgo.Describe("the ledger", func() {
	ginkgo.It("refuses to issue more permits than the limit of the service", func() {
		l := New(issuer, Config{})
		rng := rand.New(rand.NewPCG(3, 4))
		_, err := l.Issue(0, testService(), testLimit, rng)
		Expect(err).NotTo(HaveOccurred())
		_, err = l.Issue(0, testService(), 1, rng)
		Expect(err).To(MatchError(ContainSubstring("319")))
		_, err = l.Issue(testLifetime, testService(), 1, rng)
		Expect(err).To(HaveOccurred(), "expired permits are kept for the retention period")
		_, err = l.Issue(testLifetime+testRetention, testService(), testLimit, rng)
		Expect(err).NotTo(HaveOccurred())
	})

	ginkgo.It("reports that an outcome was too large to keep", func() {
		l := New(issuer, Config{MaxOutcomeBytes: 4})
		id := issuePermit(l)
		l.EndAttempt(0, id, begin(l, id), result.Done, "12345")
		d := l.Submit(0, id, 1)
		Expect(d).To(Equal(Decision{Verdict: Replay, Code: result.Replayed, Recorded: result.Done, OutcomeDropped: true}))
	})

	ginkgo.It("answers submits from a handover during its time to live and never dispatches", func() {
		l := New(issuer, Config{})
		done, open := issuePermit(l), issuePermit(l)
		l.EndAttempt(0, done, begin(l, done), result.Done, "ok")
		l.Submit(0, open, 1)
		l.Stop(0)
		receiver := New(replacement, Config{})
		batches := BatchHandovers(issuer, l.ClosedPermits(), 1)
		Expect(batches).To(HaveLen(1))
		Expect(receiver.ReceiveHandover(time.Hour, batches[0])).To(Equal(1))
		Expect(receiver.ReceiveHandover(time.Hour, batches[0])).To(Equal(0))

		Expect(receiver.Submit(time.Hour, done, 1).Outcome).To(Equal("ok"))
		Expect(receiver.Submit(time.Hour, done, 2).Code).To(Equal(result.PermitBodyMismatch))
		Expect(receiver.Submit(time.Hour, open, 1).Code).To(Equal(result.IssuerReplaced))
		Expect(receiver.Submit(time.Hour+testRetention, done, 1).Code).To(Equal(result.IssuerReplaced))
		own := peerwire.Handover{Issuer: replacement, Entries: []peerwire.ClosedPermit{{Sequence: 1, Code: result.Done, TTL: time.Hour}}}
		Expect(receiver.ReceiveHandover(time.Hour, own)).To(Equal(0))
	})

	ginkgo.It("chooses the same successors for any order of the hosts, and never the issuer", func() {
		hosts := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
		first := Successors(issuer, hosts, 2)
		Expect(first).To(ConsistOf(hosts[1:]))
		Expect(Successors(issuer, []string{hosts[2], hosts[1], hosts[0]}, 2)).To(Equal(first))
		Expect(Successors(issuer, hosts, 1)).To(Equal(first[:1]))
		Expect(Successors(issuer, hosts[:1], 2)).To(BeEmpty())
	})
})

var _ = ginkgo.DescribeTable("Parse rejects", func(s string) {
	_, err := Parse(s)
	Expect(err).To(MatchError(ContainSubstring("314")))
},
	ginkgo.Entry("an empty string", ""),
	ginkgo.Entry("an unknown format version", "2~10.0.0.1:7000~7~1~a~orders"),
	ginkgo.Entry("a missing field", "1~10.0.0.1:7000~7~1~a"),
	ginkgo.Entry("a host name as address", "1~example:7000~7~1~a~orders"),
	ginkgo.Entry("a plus sign before the sequence", "1~10.0.0.1:7000~7~+1~a~orders"),
	ginkgo.Entry("a leading zero in the start number", "1~10.0.0.1:7000~07~1~a~orders"),
	ginkgo.Entry("an upper-case nonce", "1~10.0.0.1:7000~7~1~A~orders"),
)

// BenchmarkLedger measures the life of one permit, from its issue to a repeated
// submit after its end, in a ledger that holds a constant number of other permits.
func BenchmarkLedger(b *testing.B) {
	const held = 10_000
	service := testService()
	service.Permit.Limit = 2 * held
	l := New(issuer, Config{})
	rng := rand.New(rand.NewPCG(3, 4))
	step := testRetention / held
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += step
		ids, err := l.Issue(now, service, 1, rng)
		if err != nil {
			b.Fatal(err)
		}
		l.Submit(now, ids[0], 1)
		attempt, _ := l.BeginAttempt(now, ids[0])
		l.EndAttempt(now, ids[0], attempt, result.Done, "ok")
		if l.Submit(now, ids[0], 1).Code != result.Replayed {
			b.Fatal("a repeated submit was not answered with the recorded outcome")
		}
	}
	b.ReportMetric(float64(len(l.entries)), "held")
}

package load

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/standin"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestLoad(t *testing.T) { testsuite.RunSpecs(t, "load") }

func validOptions() Options {
	return Options{Deployment: "fanout", Duration: time.Second, Hosts: 1, Scale: 1, Seed: 1}
}

var _ = ginkgo.DescribeTable("invalid options are reported with code 630 and the flag",
	func(change func(*Options), flag string) {
		o := validOptions()
		change(&o)
		err, ok := o.Validate().(*result.Error)
		Expect(ok).To(BeTrue())
		Expect(err.Code).To(Equal(result.Usage))
		Expect(err.Field).To(Equal(flag))
	},
	ginkgo.Entry("deployment", func(o *Options) { o.Deployment = "x" }, "--deployment"),
	ginkgo.Entry("fault", func(o *Options) { o.Faults = "stragglers+x" }, "--faults"),
	ginkgo.Entry("duration", func(o *Options) { o.Duration = 0 }, "--duration"),
	ginkgo.Entry("warm-up", func(o *Options) { o.Warmup = -1 }, "--warmup"),
	ginkgo.Entry("rate", func(o *Options) { o.Rate = -1 }, "--rate"),
	ginkgo.Entry("concurrency", func(o *Options) { o.Concurrency = -1 }, "--concurrency"),
	ginkgo.Entry("hosts", func(o *Options) { o.Hosts = 0 }, "--hosts"),
	ginkgo.Entry("scale", func(o *Options) { o.Scale = 0 }, "--scale"),
	ginkgo.Entry("name as address", func(o *Options) { o.Addresses = []string{"localhost:1"} }, "--address"),
	ginkgo.Entry("remote address", func(o *Options) { o.Addresses = []string{"192.0.2.1:80"} }, "--address"),
	ginkgo.Entry("address without service", func(o *Options) { o.Addresses = []string{"127.0.0.1:1"} }, "--service"),
	ginkgo.Entry("faults at an address", func(o *Options) {
		o.Addresses, o.Service, o.Caller, o.Faults = []string{"127.0.0.1:1"}, "a", "b", "crash"
	}, "--faults"),
	ginkgo.Entry("baseline at an address", func(o *Options) {
		o.Addresses, o.Service, o.Caller, o.Baseline = []string{"127.0.0.1:1"}, "a", "b", true
	}, "--baseline"),
)

var _ = ginkgo.Describe("planner", func() {
	ginkgo.It("generates the same jobs from the same seed", func() {
		jobs := func(seed uint64) []job {
			o := validOptions()
			o.Deployment, o.Seed = "muscat", seed
			Expect(o.Validate()).To(Succeed())
			p := newPlanner(o, "measured", 2, true)
			var out []job
			for range 500 {
				out = append(out, p.nextJob())
			}
			return out
		}
		Expect(jobs(1)).To(Equal(jobs(1)))
		Expect(jobs(1)).NotTo(Equal(jobs(2)))
	})
})

const testService = "fanout"

func completeAnswer() *api.QueryAnswer {
	hits, _ := standin.ExpectedHits(testService, 3, keyrange.All(), "q", 0)
	return &api.QueryAnswer{Code: result.Complete, Snapshot: 3, Hits: hits, Coverage: api.Coverage{Fraction: 1}}
}

var _ = ginkgo.DescribeTable("answers are checked against what the stand-ins hold",
	func(change func(*api.QueryAnswer), expected Violations) {
		answer := completeAnswer()
		change(answer)
		var v Violations
		v.checkAnswer(testService, "q", answer)
		Expect(v).To(Equal(expected))
	},
	ginkgo.Entry("correct answer", func(*api.QueryAnswer) {}, Violations{}),
	ginkgo.Entry("hit of another snapshot", func(a *api.QueryAnswer) {
		other, _ := standin.ExpectedHits(testService, 2, keyrange.All(), "q", 1)
		a.Hits = append(a.Hits, other[0])
	}, Violations{MixedSnapshots: 1}),
	ginkgo.Entry("repeated document", func(a *api.QueryAnswer) { a.Hits = append(a.Hits, a.Hits[0]) }, Violations{RepeatedDocuments: 1}),
	ginkgo.Entry("document of a covered range left out", func(a *api.QueryAnswer) { a.Hits = a.Hits[1:] }, Violations{UntrueCoverage: 1}),
	ginkgo.Entry("hits in a range reported as missing", func(a *api.QueryAnswer) {
		a.Coverage = api.Coverage{Missing: []api.Missing{{Range: keyrange.All()}}}
	}, Violations{UntrueCoverage: 1}),
	ginkgo.Entry("missing range reported as missing", func(a *api.QueryAnswer) {
		r := keyrange.Split(4)[1]
		a.Coverage = api.Coverage{Fraction: 0.75, Missing: []api.Missing{{Range: r}}}
		var remaining []dispatch.Hit
		for _, h := range a.Hits {
			if !r.Contains(h.Key) {
				remaining = append(remaining, h)
			}
		}
		a.Hits = remaining
	}, Violations{}),
	ginkgo.Entry("wrong coverage fraction", func(a *api.QueryAnswer) { a.Coverage.Fraction = 0.5 }, Violations{UntrueCoverage: 1}),
)

// falseRefusalTarget runs every request but answers with a code that says that
// nothing ran.
type falseRefusalTarget struct{ Target }

func (t falseRefusalTarget) Query(ctx context.Context, r *api.QueryRequest) (*api.QueryAnswer, error) {
	answer, err := t.Target.Query(ctx, r)
	if answer != nil {
		answer.Code = result.QueueFull
	}
	return answer, err
}

func (t falseRefusalTarget) Submit(ctx context.Context, r *api.SubmitRequest) (*api.SubmitAnswer, error) {
	answer, err := t.Target.Submit(ctx, r)
	if answer != nil {
		answer.Code = result.QueueFull
	}
	return answer, err
}

func startFalseRefusals(ctx context.Context, d *standin.Deployment, o Options) (*Fleet, error) {
	fleet, err := StartBaseline(ctx, d, o)
	for i := range fleet.Targets {
		fleet.Targets[i] = falseRefusalTarget{fleet.Targets[i]}
	}
	return fleet, err
}

var _ = ginkgo.Describe("run", func() {
	shortRunOptions := func(deployment string) Options {
		return Options{Deployment: deployment, Duration: 300 * time.Millisecond, Rate: 40, Hosts: 2, Scale: 0.1, Seed: 1}
	}

	ginkgo.It("counts requests, coverage and extra load without faults", func() {
		o := shortRunOptions("ferrando")
		Expect(o.Validate()).To(Succeed())
		report, err := Run(context.Background(), o, StartBaseline, nil)
		Expect(err).NotTo(HaveOccurred())
		p := report.Policies[0]
		Expect(p.Requests).To(BeNumerically(">", 0))
		Expect(p.Total.Answered).To(Equal(p.Requests))
		Expect(p.Total.Coverage).To(Equal(1.0))
		// The baseline runs a submit each time that it is sent, so that AtMostOnce may
		// be above zero.
		v := p.Violations
		v.AtMostOnce = 0
		Expect(v).To(Equal(Violations{}))
		var decoded Report
		var out bytes.Buffer
		Expect(report.WriteJSON(&out)).To(Succeed())
		Expect(json.Unmarshal(out.Bytes(), &decoded)).To(Succeed())
		Expect(report.WriteText(&out)).To(Succeed())
		out.Reset()
		Expect(report.WriteHTML(&out)).To(Succeed())
		Expect(out.String()).To(ContainSubstring("<polyline"))
		Expect(out.String()).NotTo(ContainSubstring("NaN"))
	})

	ginkgo.It("detects requests that ran although the caller was told that they did not", func() {
		o := shortRunOptions("muscat")
		o.Concurrency = 4
		Expect(o.Validate()).To(Succeed())
		report, err := Run(context.Background(), o, startFalseRefusals, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Policies[0].Violations.UntrueNotRun).To(BeNumerically(">=", report.Policies[0].Requests))
		Expect(report.Check()).To(HaveOccurred())
	})

	ginkgo.DescribeTable("applies every fault to a running deployment",
		func(f fault) {
			d, err := standin.NewDeployment(workloads["fanout"].deploymentOptions(validOptions()))
			Expect(err).NotTo(HaveOccurred())
			ginkgo.DeferCleanup(d.Close)
			for _, s := range f.steps {
				Expect(s.apply(d)).To(Succeed())
			}
		},
		func() []ginkgo.TableEntry {
			var out []ginkgo.TableEntry
			for _, f := range faults {
				out = append(out, ginkgo.Entry(f.name, f))
			}
			return out
		}(),
	)
})

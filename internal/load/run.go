package load

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

const (
	// maxOutstanding limits the requests of an open loop that wait for an answer.
	maxOutstanding = 20_000
	// answerWaitMargin is how long after a request's deadline the load tool still
	// waits for its answer.
	answerWaitMargin = 5 * time.Second
	// lateStartWait is how long the load tool waits after the last answer for
	// endpoints that may still start a request.
	lateStartWait = 500 * time.Millisecond
	// unknownDeadline is the assumed deadline of daemons that run already, whose
	// configuration the load tool does not know.
	unknownDeadline  = 10 * time.Second
	progressInterval = 250 * time.Millisecond
)

// Fleet is the set of hosts that a run sends requests to.
type Fleet struct {
	// Addresses are the caller addresses of embedded hosts.
	Addresses []string
	// Targets receive the requests in rotation.
	Targets []Target
	// ReadCounters returns the hosts' counters by name; it may be nil.
	ReadCounters func(context.Context) (map[string]float64, error)
	Close        func()
}

// StartFleet starts the hosts of an embedded run.
type StartFleet func(context.Context, *standin.Deployment, Options) (*Fleet, error)

// Progress receives the policy, the elapsed share of the current phase and the
// number of requests that have ended.
type Progress func(policy string, share float64, requests int64)

// Run measures gypsumlug on the fleet that start returns, and the baseline if the
// options include it. The options must have passed Validate. With o.Addresses, Run
// measures the daemons at those addresses instead and does not call start.
func Run(ctx context.Context, o Options, start StartFleet, progress Progress) (*Report, error) {
	report := &Report{Options: o}
	if len(o.Addresses) > 0 {
		policy, err := runExternal(ctx, o, progress)
		report.Policies = append(report.Policies, policy)
		return report, err
	}
	policy, err := runEmbedded(ctx, o, PolicyGypsumlug, start, progress)
	if err != nil {
		return nil, err
	}
	report.Policies = append(report.Policies, policy)
	if !o.Baseline {
		return report, nil
	}
	policy, err = runEmbedded(ctx, o, PolicyBaseline, StartBaseline, progress)
	if err != nil {
		return nil, err
	}
	report.Policies = append(report.Policies, policy)
	return report, nil
}

// StartBaseline returns a fleet of hosts with the naive policy. It is a
// [StartFleet].
func StartBaseline(_ context.Context, d *standin.Deployment, o Options) (*Fleet, error) {
	fleet := &Fleet{Close: func() {}}
	hosts := make([]*BaselineTarget, o.Hosts)
	for i := range hosts {
		hosts[i] = NewBaselineTarget(i, o.Seed, d.PublishedBundle)
		fleet.Targets = append(fleet.Targets, hosts[i])
	}
	fleet.ReadCounters = func(context.Context) (map[string]float64, error) {
		var retries int64
		for _, h := range hosts {
			retries += h.Retries()
		}
		return map[string]float64{"retries": float64(retries)}, nil
	}
	return fleet, nil
}

// StartDeployment starts the stand-ins of the workload that o names. It uses only
// the deployment, the scale and the seed of o.
func StartDeployment(o Options) (*standin.Deployment, error) {
	o.Hosts, o.Duration = 1, time.Second
	if err := o.Validate(); err != nil {
		return nil, err
	}
	return standin.NewDeployment(workloads[o.Deployment].deploymentOptions(o))
}

// runExternal measures daemons that run already, outside of this process.
func runExternal(ctx context.Context, o Options, progress Progress) (PolicyResult, error) {
	fleet := &Fleet{Close: func() {}}
	for _, address := range o.Addresses {
		target, err := newHostTarget(address)
		if err != nil {
			return PolicyResult{}, err
		}
		fleet.Targets = append(fleet.Targets, target)
	}
	r := &run{options: o, policy: PolicyGypsumlug, fleet: fleet, progress: progress}
	return r.measure(ctx)
}

// runEmbedded starts stand-ins and a fleet and measures the fleet.
func runEmbedded(ctx context.Context, o Options, policy string, start StartFleet, progress Progress) (PolicyResult, error) {
	deployment, err := standin.NewDeployment(workloads[o.Deployment].deploymentOptions(o))
	if err != nil {
		return PolicyResult{}, err
	}
	defer deployment.Close()
	fleet, err := start(ctx, deployment, o)
	if err != nil {
		return PolicyResult{}, err
	}
	defer fleet.Close()
	r := &run{options: o, policy: policy, fleet: fleet, deployment: deployment, progress: progress}
	return r.measure(ctx)
}

// run is the measurement of one policy.
type run struct {
	options       Options
	policy        string
	fleet         *Fleet
	deployment    *standin.Deployment
	progress      Progress
	collector     *collector
	endedRequests atomic.Int64
	notSent       atomic.Int64
}

// measure runs the warm-up without faults, then the workload with faults, and
// returns the result of the latter.
func (r *run) measure(ctx context.Context) (PolicyResult, error) {
	faults, err := parseFaults(r.options.Faults)
	if err != nil {
		return PolicyResult{}, err
	}
	r.collector = newCollector()
	r.runJobs(ctx, newPlanner(r.options, "warm", 1, false), r.options.Warmup)
	time.Sleep(lateStartWait)
	r.collector = newCollector()
	before := r.readCounters(ctx)
	stop := r.startFaultSteps(ctx, faults)
	start := time.Now()
	r.runJobs(ctx, newPlanner(r.options, "measured", 2, hasCrashRequests(faults)), r.options.Duration)
	took := time.Since(start)
	if err := stop(); err != nil {
		return PolicyResult{}, err
	}
	time.Sleep(lateStartWait)
	if r.deployment != nil {
		r.collector.compareWithRuns(r.deployment.Recorder)
	}
	out := r.collector.policyResult(r.policy, took)
	out.NotSent = r.notSent.Load()
	r.readCounters(ctx).subtract(before).setResult(&out)
	return out, ctx.Err()
}

// startFaultSteps starts to apply the steps of all faults at their times. The
// returned function skips the steps that have not been applied yet and returns the
// error of the step that failed, if any.
func (r *run) startFaultSteps(ctx context.Context, all []fault) func() error {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- r.applyFaultSteps(ctx, mergeSteps(all)) }()
	return func() error {
		cancel()
		return <-done
	}
}

// applyFaultSteps applies the steps at their times until one fails or ctx ends.
func (r *run) applyFaultSteps(ctx context.Context, steps []faultStep) error {
	start := time.Now()
	for _, s := range steps {
		sleepContext(ctx, time.Duration(s.atFraction*float64(r.options.Duration))-time.Since(start))
		if ctx.Err() != nil {
			return nil
		}
		if err := s.apply(r.deployment); err != nil {
			return err
		}
	}
	return nil
}

// runJobs starts jobs of the planner for d and waits until all have ended.
func (r *run) runJobs(ctx context.Context, p *planner, d time.Duration) {
	stop := r.startProgress(d)
	defer stop()
	if r.options.Concurrency > 0 {
		r.runClosedLoop(ctx, p, d)
		return
	}
	r.runOpenLoop(ctx, p, d)
}

// runOpenLoop starts each job at its scheduled time, whether or not earlier ones
// have ended. It skips jobs while maxOutstanding others are running.
func (r *run) runOpenLoop(ctx context.Context, p *planner, d time.Duration) {
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, maxOutstanding)
	start := time.Now()
	for j := p.nextJob(); j.startOffset < d && ctx.Err() == nil; j = p.nextJob() {
		sleepContext(ctx, j.startOffset-time.Since(start))
		select {
		case slots <- struct{}{}:
		default:
			r.notSent.Add(1)
			continue
		}
		wg.Go(func() {
			r.executeJob(ctx, j, start.Add(j.startOffset))
			<-slots
		})
	}
}

// runClosedLoop runs jobs on a fixed number of callers, each of which starts its
// next job when the last has ended.
func (r *run) runClosedLoop(ctx context.Context, p *planner, d time.Duration) {
	var mu sync.Mutex
	next := func() job {
		mu.Lock()
		defer mu.Unlock()
		return p.nextJob()
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	end := time.Now().Add(d)
	for range r.options.Concurrency {
		wg.Go(func() {
			for time.Now().Before(end) && ctx.Err() == nil {
				r.executeJob(ctx, next(), time.Now())
			}
		})
	}
}

// executeJob runs one job. Its latency is measured from scheduledStart.
func (r *run) executeJob(ctx context.Context, j job, scheduledStart time.Time) {
	deadline, shards := r.deadlineAndShards(j)
	ctx, cancel := context.WithTimeout(ctx, deadline+answerWaitMargin)
	defer cancel()
	defer r.endedRequests.Add(1)
	if j.submit {
		r.executeSubmit(ctx, j, scheduledStart, deadline)
		return
	}
	target := r.fleet.Targets[j.sequence%len(r.fleet.Targets)]
	id := requestID(j)
	answer, err := target.Query(ctx, &api.QueryRequest{RequestID: id, Service: j.service, Caller: j.caller, Query: j.body})
	took := time.Since(scheduledStart)
	if err != nil {
		answer = nil
	}
	if answer != nil && isCompleteOrPartial(answer.Code) && answer.RequestID != id {
		r.collector.recordWrongAnswer()
	}
	if answer != nil && shards == 0 {
		shards = answer.Coverage.Shards
	}
	r.collector.recordQuery(j, answer, took, deadline, shards)
}

// executeSubmit requests a permit and submits under it. It sends the submit again
// if repeatSubmit is set, if no answer arrived or if the outcome is unknown.
func (r *run) executeSubmit(ctx context.Context, j job, scheduledStart time.Time, deadline time.Duration) {
	target := r.fleet.Targets[j.sequence%len(r.fleet.Targets)]
	permits, err := target.Permit(ctx, &api.PermitRequest{RequestID: requestID(j), Service: j.service, Caller: j.caller})
	if err != nil || len(permits.Permits) == 0 {
		r.collector.recordSubmit(j, "", permitFailureAnswer(permits, err), time.Since(scheduledStart), deadline)
		return
	}
	permit := permits.Permits[0]
	submit := &api.SubmitRequest{
		RequestID: requestID(j), Service: j.service, Caller: j.caller,
		Permit: permit, Body: j.body, Key: j.key,
	}
	answer, err := target.Submit(ctx, submit)
	if err != nil {
		answer = nil
	}
	r.collector.recordSubmit(j, permit, answer, time.Since(scheduledStart), deadline)
	if j.repeatSubmit || answer == nil || answer.Code.Class() == result.ClassUnknown {
		r.repeatSubmit(ctx, j, submit)
	}
}

// repeatSubmit sends a submit again, through another host.
func (r *run) repeatSubmit(ctx context.Context, j job, submit *api.SubmitRequest) {
	target := r.fleet.Targets[(j.sequence+1)%len(r.fleet.Targets)]
	answer, err := target.Submit(ctx, submit)
	if err != nil {
		answer = nil
	}
	r.collector.recordRepeatedSubmit(j, submit.Permit, answer)
}

// permitFailureAnswer returns the result of a submit that got no permit: nil if the
// permit request was not answered.
func permitFailureAnswer(answer *api.PermitAnswer, err error) *api.SubmitAnswer {
	if err != nil {
		return nil
	}
	return &api.SubmitAnswer{Code: answer.Code}
}

// deadlineAndShards returns the deadline and the number of shards of a job's
// service. The number is zero if the configuration is not known.
func (r *run) deadlineAndShards(j job) (time.Duration, int) {
	if r.deployment == nil {
		return unknownDeadline, 0
	}
	bundle := r.deployment.PublishedBundle()
	return bundle.Service(j.service).Deadline(), len(newestShards(bundle.Index(j.service)))
}

func newestShards(index *config.Index) []config.Shard {
	return index.Snapshots[len(index.Snapshots)-1].Shards
}

// startProgress reports progress periodically until the returned function is
// called.
func (r *run) startProgress(d time.Duration) func() {
	if r.progress == nil || d <= 0 {
		return func() {}
	}
	done := make(chan struct{})
	start := time.Now()
	go func() {
		ticker := time.NewTicker(progressInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				r.progress(r.policy, min(1, time.Since(start).Seconds()/d.Seconds()), r.endedRequests.Load())
			case <-done:
				return
			}
		}
	}()
	return func() { close(done) }
}

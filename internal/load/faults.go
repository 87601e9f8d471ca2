package load

import (
	"slices"
	"strings"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

const (
	faultNone = "none"
	// crashDuration is how long an endpoint is down after a crash request.
	crashDuration = 500 * time.Millisecond
	// crashInterval is such that every crashInterval-th job becomes a crash request,
	// unless it is a submit.
	crashInterval = 50
)

// fault is a fault scenario of a run: named changes to the stand-ins over time.
type fault struct {
	name  string
	steps []faultStep
	// sendsCrashRequests turns some queries of the workload into crash requests, that
	// is requests that crash the endpoint that runs them.
	sendsCrashRequests bool
}

// faultStep is one change to the stand-ins. atFraction is its time as a fraction
// of the run's duration.
type faultStep struct {
	atFraction float64
	apply      func(*standin.Deployment) error
}

// faults lists all faults. Options combine several by joining their names with
// "+".
var faults = []fault{
	{name: faultNone},
	{name: "stragglers", steps: []faultStep{{0, onAllEndpoints(func(f *standin.Faults) { f.DelayOneIn, f.DelayFactor = 100, 20 })}}},
	{name: "lost-replica", steps: []faultStep{{0.25, onFirstReplicas(func(f *standin.Faults) { f.Lost = true })}}},
	{name: "shedding", steps: []faultStep{{0, onAllEndpoints(func(f *standin.Faults) { f.ShedPerMille = 500 })}}},
	{name: "cold-start", steps: []faultStep{
		{0.25, onFirstReplicas(func(f *standin.Faults) { f.Cold = true })},
		{0.40, onFirstReplicas(func(f *standin.Faults) { f.Cold, f.SlowFactor = false, 8 })},
		{0.65, onFirstReplicas(func(f *standin.Faults) { f.SlowFactor = 1 })},
	}},
	{name: "drain", steps: []faultStep{{0.25, onFirstReplicas(func(f *standin.Faults) { f.Leaving = true })}}},
	{name: "silent", steps: []faultStep{{0.25, silenceConnections}, {0.6, silenceConnections}}},
	{name: "snapshot-change", steps: []faultStep{{0.25, publishSnapshots(2)}, {0.5, publishSnapshots(2)}, {0.75, publishSnapshots(2)}}},
	{name: "snapshot-gone", steps: []faultStep{{0.25, publishSnapshots(1)}, {0.5, publishSnapshots(1)}, {0.75, publishSnapshots(1)}}},
	{name: "crash", sendsCrashRequests: true, steps: []faultStep{{0, onAllEndpoints(func(f *standin.Faults) { f.CrashDuration = crashDuration })}}},
	{name: "shard-move", steps: []faultStep{{0.25, moveShards}, {0.5, publishRevision}}},
	{name: "misleading-load", steps: []faultStep{{0, onFirstReplicas(func(f *standin.Faults) { f.MisleadingLoad, f.SlowFactor = true, 4 })}}},
	{name: "bad-replies", steps: []faultStep{{0, onAllEndpoints(func(f *standin.Faults) {
		f.DuplicatePerMille, f.OtherSnapshotPerMille, f.FailPerMille, f.SilentPerMille = 10, 5, 5, 2
	})}}},
	{name: "platform-down", steps: []faultStep{{0.2, setPlatformUnavailable(true)}, {0.8, setPlatformUnavailable(false)}}},
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	out := make([]string, len(faults))
	for i, f := range faults {
		out[i] = f.name
	}
	return out
}

// parseFaults returns the faults that list names, joined by "+". An empty list has
// none.
func parseFaults(list string) ([]fault, error) {
	if list == "" {
		return nil, nil
	}
	var out []fault
	for _, name := range strings.Split(list, "+") {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, usageError("faults", "got %q, want names from %s joined by +", name, strings.Join(FaultNames(), ", "))
		}
		out = append(out, faults[i])
	}
	return out, nil
}

// mergeSteps returns the steps of all faults in order of time. Steps at the same
// time keep the order of the faults.
func mergeSteps(all []fault) []faultStep {
	var out []faultStep
	for _, f := range all {
		out = append(out, f.steps...)
	}
	slices.SortStableFunc(out, func(a, b faultStep) int {
		switch {
		case a.atFraction < b.atFraction:
			return -1
		case a.atFraction > b.atFraction:
			return 1
		default:
			return 0
		}
	})
	return out
}

func hasCrashRequests(all []fault) bool {
	return slices.ContainsFunc(all, func(f fault) bool { return f.sendsCrashRequests })
}

// onAllEndpoints changes the faults of every endpoint.
func onAllEndpoints(change func(*standin.Faults)) func(*standin.Deployment) error {
	return func(d *standin.Deployment) error {
		for _, e := range d.Endpoints() {
			changeFaults(e, change)
		}
		return nil
	}
}

// onFirstReplicas changes the faults of one replica of every shard.
func onFirstReplicas(change func(*standin.Faults)) func(*standin.Deployment) error {
	return func(d *standin.Deployment) error {
		for _, e := range d.FirstReplicas() {
			changeFaults(e, change)
		}
		return nil
	}
}

func changeFaults(e *standin.Endpoint, change func(*standin.Faults)) {
	f := e.Faults()
	change(&f)
	e.SetFaults(f)
}

// silenceConnections makes all open connections of every endpoint silent.
func silenceConnections(d *standin.Deployment) error {
	for _, e := range d.Endpoints() {
		e.SilenceConnections()
	}
	return nil
}

// publishSnapshots publishes a newer snapshot of every index. The endpoints keep
// only the newest keep snapshots.
func publishSnapshots(keep int) func(*standin.Deployment) error {
	return func(d *standin.Deployment) error { return d.PublishSnapshots(keep) }
}

// moveShards swaps the replicas of the first and the last shard of each service
// without publishing it: hosts learn of the move from refusals only. Where both
// shards have the same replicas, one replica refuses the first shard instead.
func moveShards(d *standin.Deployment) error {
	for _, name := range d.ServiceNames() {
		shards := d.Shards(name)
		last := len(shards) - 1
		if slices.Equal(shards[0].Replicas, shards[last].Replicas) {
			refuseFirstShard(d, name)
			continue
		}
		if err := d.MoveShard(name, 0, shards[last].Replicas, false); err != nil {
			return err
		}
		if err := d.MoveShard(name, last, shards[0].Replicas, false); err != nil {
			return err
		}
	}
	return nil
}

// refuseFirstShard makes the first replica of a service's first shard refuse that
// shard as moved.
func refuseFirstShard(d *standin.Deployment, name string) {
	moved := []keyrange.Range{d.Shards(name)[0].Range}
	changeFaults(d.Replicas(name, 0)[0], func(f *standin.Faults) { f.Moved = moved })
}

// publishRevision publishes the current placement of shards.
func publishRevision(d *standin.Deployment) error { return d.Publish() }

func setPlatformUnavailable(down bool) func(*standin.Deployment) error {
	return func(d *standin.Deployment) error {
		d.Platform.SetFaults(standin.PlatformFaults{Unavailable: down})
		return nil
	}
}

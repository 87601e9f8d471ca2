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
	// crashFor is how long an endpoint is down after a crashing request.
	crashFor = 500 * time.Millisecond
	// crashEvery makes one request in so many a crashing one.
	crashEvery = 50
)

// fault is a named fault of a run: steps at fractions of its duration.
type fault struct {
	name  string
	steps []step
	// crashing adds requests that crash endpoints.
	crashing bool
}

// step changes the stand-ins at a fraction of the run's duration.
type step struct {
	at    float64
	apply func(*standin.Deployment) error
}

// faults is the table of faults. A pair is written with "+".
var faults = []fault{
	{name: faultNone},
	{name: "stragglers", steps: []step{{0, everywhere(func(f *standin.Faults) { f.DelayOneIn, f.DelayFactor = 100, 20 })}}},
	{name: "lost-replica", steps: []step{{0.25, firstReplicas(func(f *standin.Faults) { f.Lost = true })}}},
	{name: "shedding", steps: []step{{0, everywhere(func(f *standin.Faults) { f.ShedPerMille = 500 })}}},
	{name: "cold-start", steps: []step{
		{0.25, firstReplicas(func(f *standin.Faults) { f.Cold = true })},
		{0.40, firstReplicas(func(f *standin.Faults) { f.Cold, f.SlowFactor = false, 8 })},
		{0.65, firstReplicas(func(f *standin.Faults) { f.SlowFactor = 1 })},
	}},
	{name: "drain", steps: []step{{0.25, firstReplicas(func(f *standin.Faults) { f.Leaving = true })}}},
	{name: "silent", steps: []step{{0.25, silenceAll}, {0.6, silenceAll}}},
	{name: "snapshot-change", steps: []step{{0.25, changeSnapshots(2)}, {0.5, changeSnapshots(2)}, {0.75, changeSnapshots(2)}}},
	{name: "snapshot-gone", steps: []step{{0.25, changeSnapshots(1)}, {0.5, changeSnapshots(1)}, {0.75, changeSnapshots(1)}}},
	{name: "crash", crashing: true, steps: []step{{0, everywhere(func(f *standin.Faults) { f.CrashDuration = crashFor })}}},
	{name: "shard-move", steps: []step{{0.25, moveShards}, {0.5, publish}}},
	{name: "misleading-load", steps: []step{{0, firstReplicas(func(f *standin.Faults) { f.MisleadingLoad, f.SlowFactor = true, 4 })}}},
	{name: "bad-replies", steps: []step{{0, everywhere(func(f *standin.Faults) {
		f.DuplicatePerMille, f.OtherSnapshotPerMille, f.FailPerMille, f.SilentPerMille = 10, 5, 5, 2
	})}}},
	{name: "platform-down", steps: []step{{0.2, platformDown(true)}, {0.8, platformDown(false)}}},
}

// FaultNames returns the names of all faults.
func FaultNames() []string {
	out := make([]string, len(faults))
	for i, f := range faults {
		out[i] = f.name
	}
	return out
}

// parseFaults returns the faults that a list joined by "+" names.
func parseFaults(list string) ([]fault, error) {
	if list == "" {
		return nil, nil
	}
	var out []fault
	for _, name := range strings.Split(list, "+") {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, usage("faults", "got %q, want names from %s joined by +", name, strings.Join(FaultNames(), ", "))
		}
		out = append(out, faults[i])
	}
	return out, nil
}

// mergeSteps returns the steps of all faults in order of time.
func mergeSteps(all []fault) []step {
	var out []step
	for _, f := range all {
		out = append(out, f.steps...)
	}
	slices.SortStableFunc(out, func(a, b step) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		default:
			return 0
		}
	})
	return out
}

func hasCrashing(all []fault) bool {
	return slices.ContainsFunc(all, func(f fault) bool { return f.crashing })
}

func everywhere(change func(*standin.Faults)) func(*standin.Deployment) error {
	return func(d *standin.Deployment) error {
		for _, e := range d.Endpoints() {
			changeFaults(e, change)
		}
		return nil
	}
}

// firstReplicas changes one replica of every shard.
func firstReplicas(change func(*standin.Faults)) func(*standin.Deployment) error {
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

func silenceAll(d *standin.Deployment) error {
	for _, e := range d.Endpoints() {
		e.SilenceConnections()
	}
	return nil
}

// changeSnapshots gives every index a newer snapshot; endpoints hold the newest
// keep.
func changeSnapshots(keep int) func(*standin.Deployment) error {
	return func(d *standin.Deployment) error { return d.PublishSnapshots(keep) }
}

// moveShards swaps the replicas of the first and the last shard of each service
// without telling the hosts.
func moveShards(d *standin.Deployment) error {
	for _, name := range d.ServiceNames() {
		shards := d.Shards(name)
		last := len(shards) - 1
		if slices.Equal(shards[0].Replicas, shards[last].Replicas) {
			moveWithin(d, name)
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

// moveWithin takes the first shard from the first replica of a service whose
// endpoints all hold every shard.
func moveWithin(d *standin.Deployment, name string) {
	moved := []keyrange.Range{d.Shards(name)[0].Range}
	changeFaults(d.Replicas(name, 0)[0], func(f *standin.Faults) { f.Moved = moved })
}

func publish(d *standin.Deployment) error { return d.Publish() }

func platformDown(down bool) func(*standin.Deployment) error {
	return func(d *standin.Deployment) error {
		d.Platform.SetFaults(standin.PlatformFaults{Unavailable: down})
		return nil
	}
}

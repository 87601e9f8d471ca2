package load

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

// counters is a snapshot of the counters of the endpoints, the hosts and the
// process. It is taken before and after the measured part of a run; the report
// shows the difference.
type counters struct {
	endpointCounts standin.Counts
	hostCounters   map[string]float64
	processorTime  time.Duration
}

func (r *run) readCounters(ctx context.Context) counters {
	c := counters{processorTime: processorTime()}
	if r.deployment != nil {
		c.endpointCounts = r.deployment.Counts()
	}
	if r.fleet.ReadCounters != nil {
		// The report leaves out counters that cannot be read before the measurement.
		// If only the second reading fails, subtract panics on the nil map.
		c.hostCounters, _ = r.fleet.ReadCounters(ctx)
	}
	return c
}

// subtract returns the increase of the counters since before. Values that are not
// cumulative, such as HighestConnections and Slots, are those of c.
func (c counters) subtract(before counters) counters {
	c.processorTime -= before.processorTime
	c.endpointCounts.Requests -= before.endpointCounts.Requests
	c.endpointCounts.Started -= before.endpointCounts.Started
	c.endpointCounts.Cancels -= before.endpointCounts.Cancels
	c.endpointCounts.ConnectionsRefused -= before.endpointCounts.ConnectionsRefused
	c.endpointCounts.BusyTime -= before.endpointCounts.BusyTime
	c.endpointCounts.AfterLeaving -= before.endpointCounts.AfterLeaving
	for code, n := range before.endpointCounts.Refused {
		c.endpointCounts.Refused[code] -= n
	}
	for name, n := range before.hostCounters {
		c.hostCounters[name] -= n
	}
	return c
}

// setResult sets the fields of p that are derived from the counters.
func (c counters) setResult(p *PolicyResult) {
	l := &p.Load
	l.Dispatches = c.endpointCounts.Requests
	l.Started = c.endpointCounts.Started
	l.Cancels = c.endpointCounts.Cancels
	l.ConnectionsRefused = c.endpointCounts.ConnectionsRefused
	l.HighestConnections = c.endpointCounts.HighestConnections
	l.AfterLeaving = c.endpointCounts.AfterLeaving
	if slotSeconds := float64(c.endpointCounts.Slots) * p.Seconds; slotSeconds > 0 {
		l.SlotUse = c.endpointCounts.BusyTime.Seconds() / slotSeconds
	}
	l.Refused = positiveCounts(codeCounts(c.endpointCounts.Refused))
	if l.Asked > 0 {
		l.Extra = float64(l.Dispatches)/float64(l.Asked) - 1
		l.ExtraStarted = float64(l.Started)/float64(l.Asked) - 1
		l.ProcessorUS = float64(c.processorTime.Microseconds()) / float64(l.Asked)
	}
	for name, n := range c.hostCounters {
		if n > 0 {
			p.HostCounters = append(p.HostCounters, HostCounter{Name: name, Count: n})
		}
	}
	slices.SortFunc(p.HostCounters, func(a, b HostCounter) int { return cmp.Compare(a.Name, b.Name) })
}

// positiveCounts returns the counts above zero. It modifies all in place.
func positiveCounts(all []CodeCount) []CodeCount {
	return slices.DeleteFunc(all, func(c CodeCount) bool { return c.Count <= 0 })
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func requestID(j job) string { return fmt.Sprintf("load-%d", j.sequence) }

// checkViolations returns an error with code 632 (result.DeploymentMismatch) if
// these are gypsumlug's results and contain violations.
func (p *PolicyResult) checkViolations() error {
	if p.Name != PolicyGypsumlug || p.Violations.Total() == 0 {
		return nil
	}
	return result.Errorf(result.DeploymentMismatch, "%d violations: %+v", p.Violations.Total(), p.Violations)
}

// Check returns an error if gypsumlug violated one of its guarantees. Violations
// by the baseline are reported but are no error.
func (r *Report) Check() error {
	for i := range r.Policies {
		if err := r.Policies[i].checkViolations(); err != nil {
			return err
		}
	}
	return nil
}

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

// counters are read before and after the measured part of a run.
type counters struct {
	endpoints standin.Counts
	reasons   map[string]float64
	processor time.Duration
}

func (r *run) readCounters(ctx context.Context) counters {
	c := counters{processor: processorTime()}
	if r.deployment != nil {
		c.endpoints = r.deployment.Counts()
	}
	if r.fleet.ReadCounters != nil {
		// Counters that cannot be read are left out of the report.
		c.reasons, _ = r.fleet.ReadCounters(ctx)
	}
	return c
}

func (c counters) subtract(before counters) counters {
	c.processor -= before.processor
	c.endpoints.Requests -= before.endpoints.Requests
	c.endpoints.Started -= before.endpoints.Started
	c.endpoints.Cancels -= before.endpoints.Cancels
	c.endpoints.ConnectionsRefused -= before.endpoints.ConnectionsRefused
	c.endpoints.BusyTime -= before.endpoints.BusyTime
	c.endpoints.AfterLeaving -= before.endpoints.AfterLeaving
	for code, n := range before.endpoints.Refused {
		c.endpoints.Refused[code] -= n
	}
	for name, n := range before.reasons {
		c.reasons[name] -= n
	}
	return c
}

// fill writes the counters into the result.
func (c counters) fill(p *PolicyResult) {
	l := &p.Load
	l.Dispatches = c.endpoints.Requests
	l.Started = c.endpoints.Started
	l.Cancels = c.endpoints.Cancels
	l.ConnectionsRefused = c.endpoints.ConnectionsRefused
	l.HighestConnections = c.endpoints.HighestConnections
	l.AfterLeaving = c.endpoints.AfterLeaving
	if slotSeconds := float64(c.endpoints.Slots) * p.Seconds; slotSeconds > 0 {
		l.SlotUse = c.endpoints.BusyTime.Seconds() / slotSeconds
	}
	l.Refused = positive(codeCounts(c.endpoints.Refused))
	if l.Asked > 0 {
		l.Extra = float64(l.Dispatches)/float64(l.Asked) - 1
		l.ExtraStarted = float64(l.Started)/float64(l.Asked) - 1
		l.ProcessorUS = float64(c.processor.Microseconds()) / float64(l.Asked)
	}
	for name, n := range c.reasons {
		if n > 0 {
			p.Reasons = append(p.Reasons, HostCounter{Name: name, Count: n})
		}
	}
	slices.SortFunc(p.Reasons, func(a, b HostCounter) int { return cmp.Compare(a.Name, b.Name) })
}

func positive(all []CodeCount) []CodeCount {
	return slices.DeleteFunc(all, func(c CodeCount) bool { return c.Count <= 0 })
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func requestID(j job) string { return fmt.Sprintf("load-%d", j.number) }

// check reports violations as an error with code 632.
func (p *PolicyResult) check() error {
	if p.Name != PolicyGypsumlug || p.Violations.Total() == 0 {
		return nil
	}
	return result.Errorf(result.DeploymentMismatch, "%d violations: %+v", p.Violations.Total(), p.Violations)
}

// Check returns an error if a promise of gypsumlug was broken. The baseline's
// violations are reported only.
func (r *Report) Check() error {
	for i := range r.Policies {
		if err := r.Policies[i].check(); err != nil {
			return err
		}
	}
	return nil
}

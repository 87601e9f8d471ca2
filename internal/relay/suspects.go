package relay

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/edf"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

func (m *Machine) fingerprint(a *attempt) view.Fingerprint {
	if !a.hasFingerprint {
		a.fingerprint = m.config.Fingerprint(a.request.Service, a.request.Body)
		a.hasFingerprint = true
	}
	return a.fingerprint
}

// checkSuspicion marks what this host's view suspects, though the origin may
// not know it yet, and returns the reason to refuse the attempt, or 0.
func (m *Machine) checkSuspicion(now time.Duration, a *attempt) result.Code {
	if len(m.view.Suspects) > 0 {
		switch m.view.Suspects[m.fingerprint(a)] {
		case view.Quarantined:
			return result.Quarantined
		case view.Suspected:
			m.markSuspect(now, a)
		}
	}
	return 0
}

// markSuspect marks an attempt that waits or is about to.
func (m *Machine) markSuspect(now time.Duration, a *attempt) {
	a.request.Suspect = true
	a.refuseAt = min(a.Deadline, now+m.config.SuspectWait)
}

// nextSuspect returns the suspect that is to run next, or nil. Between two
// suspects others get their turn, and attempts of one suspect run one after
// another on all endpoints, so that a crash is known before the next one runs.
func (m *Machine) nextSuspect(r *replica) *attempt {
	if r.suspects.Len() == 0 || (r.sentSinceSuspect < edf.FairnessInterval && r.queued() > r.suspects.Len()) {
		return nil
	}
	var first *attempt
	for a := range r.suspects.All {
		if !m.runningSuspects[m.fingerprint(a)] && (first == nil || a.Before(&first.Item)) {
			first = a
		}
	}
	return first
}

// sendSuspect sends a suspect if the endpoint is idle. Otherwise nothing is sent
// until it is. The result tells whether to go on with other attempts.
func (m *Machine) sendSuspect(now time.Duration, r *replica, a *attempt, out *Actions) bool {
	if code := m.checkSuspicion(now, a); code != 0 {
		r.suspects.Remove(a)
		m.refuse(a, code, out)
		return true
	}
	if len(r.running) > 0 {
		return false
	}
	r.suspects.Remove(a)
	r.suspectRunning = true
	r.sentSinceSuspect = 0
	m.runningSuspects[m.fingerprint(a)] = true
	m.send(now, r, a, out)
	return false
}

// handleSuspectEnd lets other attempts of the suspect run, or refuses them if it
// crashed the endpoint again.
func (m *Machine) handleSuspectEnd(now time.Duration, a *attempt, reply *dispatch.Reply, out *Actions) {
	a.replica.suspectRunning = false
	delete(m.runningSuspects, a.fingerprint)
	if reply.Outcome == dispatch.OK || reply.Outcome == dispatch.Failed {
		out.Observations = append(out.Observations, view.Observation{Recovered: []view.Fingerprint{a.fingerprint}})
	}
	m.sendAllQueued(now, out)
}

// reportCrash reports the loss of an endpoint once, with all that it was
// running, and isolates what waits of the same requests: the view that says so
// comes later.
func (m *Machine) reportCrash(now time.Duration, a *attempt, out *Actions) {
	if a.crashReported {
		return
	}
	r := a.replica
	crash := &view.Crash{Endpoint: r.id, Alone: r.suspectRunning}
	for _, other := range r.running {
		if !other.crashReported {
			other.crashReported = true
			crash.InFlight = append(crash.InFlight, m.fingerprint(other))
		}
	}
	out.Observations = append(out.Observations, view.Observation{Crash: crash})
	r.limit.Cold()
	for _, other := range m.sortedReplicas {
		m.isolateWaiting(now, other, crash, out)
	}
}

// isolateWaiting makes suspects of the attempts that wait at an endpoint and belong to
// a crash. If the crash was caused by one request alone, they are refused.
func (m *Machine) isolateWaiting(now time.Duration, r *replica, crash *view.Crash, out *Actions) {
	for _, a := range r.waiting() {
		if !slices.Contains(crash.InFlight, m.fingerprint(a)) {
			continue
		}
		m.dequeue(a)
		if crash.Alone {
			m.refuse(a, result.SuspectBusy, out)
			continue
		}
		m.markSuspect(now, a)
		m.enqueue(a)
	}
}

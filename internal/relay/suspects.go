package relay

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/edf"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// fingerprint returns the fingerprint of an attempt, which is computed only once.
func (m *Machine) fingerprint(a *attempt) view.Fingerprint {
	if !a.hasFingerprint {
		a.fingerprint = m.config.Fingerprint(a.request.Service, a.request.Body)
		a.hasFingerprint = true
	}
	return a.fingerprint
}

// checkSuspicion marks an attempt as a suspect if this host's view suspects it, which
// its origin may not know yet. It returns the reason to refuse the attempt, or 0.
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

// markSuspect marks an attempt that is not in flight as a suspect.
func (m *Machine) markSuspect(now time.Duration, a *attempt) {
	a.request.Suspect = true
	a.refuseAt = min(a.Deadline, now+m.config.SuspectWait)
}

// nextSuspect returns the suspect that is sent next, or nil. Between two suspects,
// edf.FairnessInterval normal attempts are sent if that many wait. Suspects with the
// same fingerprint run one at a time across all endpoints, so that a crash is known
// before the next one runs.
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

// sendSuspect sends a suspect if the endpoint is idle. If it is not, nothing is sent
// to the endpoint until it is idle. A suspect that has become quarantined is refused.
// sendSuspect reports whether other attempts may be sent to the endpoint now.
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

// handleSuspectEnd handles the completion of a suspect: it reports a suspect that ran
// to its end, and so did not crash the endpoint, as recovered, and sends the attempts
// that waited for it.
func (m *Machine) handleSuspectEnd(now time.Duration, a *attempt, reply *dispatch.Reply, out *Actions) {
	a.replica.suspectRunning = false
	delete(m.runningSuspects, a.fingerprint)
	if reply.Outcome == dispatch.OK || reply.Outcome == dispatch.Failed {
		out.Observations = append(out.Observations, view.Observation{Recovered: []view.Fingerprint{a.fingerprint}})
	}
	m.sendAllQueued(now, out)
}

// reportCrash reports the crash of an endpoint once, with the fingerprints of all
// attempts in flight there. It also isolates the waiting attempts with the same
// fingerprints, without waiting for a view that lists them.
func (m *Machine) reportCrash(now time.Duration, a *attempt, out *Actions) {
	if a.crashReported {
		return
	}
	r := a.replica
	crash := &view.Crash{Endpoint: r.id, Isolated: r.suspectRunning}
	for _, other := range r.running {
		if !other.crashReported {
			other.crashReported = true
			crash.InFlight = append(crash.InFlight, m.fingerprint(other))
		}
	}
	out.Observations = append(out.Observations, view.Observation{Crash: crash})
	r.limit.StartCold()
	for _, other := range m.sortedReplicas {
		m.isolateWaiting(now, other, crash, out)
	}
}

// isolateWaiting marks as suspects those attempts waiting for an endpoint whose
// fingerprint was in flight at a crash. If the attempt in flight at the crash ran
// alone, they are refused instead.
func (m *Machine) isolateWaiting(now time.Duration, r *replica, crash *view.Crash, out *Actions) {
	for _, a := range r.waiting() {
		if !slices.Contains(crash.InFlight, m.fingerprint(a)) {
			continue
		}
		m.dequeue(a)
		if crash.Isolated {
			m.refuse(a, result.SuspectBusy, out)
			continue
		}
		m.markSuspect(now, a)
		m.enqueue(a)
	}
}

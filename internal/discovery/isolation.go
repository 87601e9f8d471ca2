package discovery

import (
	"slices"
	"time"
)

const (
	// isolationTime is the time without a heartbeat from any other data centre after
	// which a host takes its own to be cut off from them.
	isolationTime = 1300 * time.Millisecond
	// outsideAskDelay is the time without one after which it asks hosts of other data
	// centres for a heartbeat: outsideAsks of them at a time, each outsideAskInterval.
	outsideAskDelay    = 800 * time.Millisecond
	outsideAskInterval = 200 * time.Millisecond
	outsideAsks        = 2
)

// updateIsolation reports whether the data centre is cut off, if that has changed. A host
// that has never heard of another data centre does not know.
func (m *Machine) updateIsolation(now time.Duration) {
	isolated := m.heardOutsideAt > 0 && now-m.heardOutsideAt > isolationTime
	if isolated == m.isolated {
		return
	}
	m.isolated = isolated
	m.pendingActions.Isolation = &isolated
	kind := ChangeRejoined
	if isolated {
		kind = ChangeIsolated
	}
	m.recordChange(Change{Kind: kind, HostCount: m.hostCount})
}

// hearOutside records what a heartbeat tells of the way to other data centres: it comes from
// one, or its sender has heard of one lately.
func (m *Machine) hearOutside(now time.Duration, h *Heartbeat) {
	heardAt := now
	if h.DataCentre == m.self.DataCentre {
		if h.OutsideAge <= 0 {
			return
		}
		heardAt -= h.OutsideAge
	}
	if heardAt > m.heardOutsideAt {
		m.heardOutsideAt = heardAt
		m.updateIsolation(now)
	}
}

// outsideAge returns the time since a heartbeat of another data centre came, to this host
// or another one of its own; zero if none has.
func (m *Machine) outsideAge(now time.Duration) time.Duration {
	if m.heardOutsideAt <= 0 {
		return 0
	}
	return max(now-m.heardOutsideAt, 1)
}

// askOtherDataCentres queues heartbeats that ask hosts of other data centres for a reply,
// if none has been heard of for a while. Rounds of heartbeats go to random hosts, so that
// they may leave a host out by chance.
func (m *Machine) askOtherDataCentres(now time.Duration) {
	if m.heardOutsideAt == 0 || now-m.heardOutsideAt < outsideAskDelay || now < m.nextOutsideAsk {
		return
	}
	m.nextOutsideAsk = now + outsideAskInterval
	outside := slices.DeleteFunc(m.members.addresses(), func(a string) bool { return m.members.hosts[a].DataCentre == m.self.DataCentre })
	m.rng.Shuffle(len(outside), func(i, j int) { outside[i], outside[j] = outside[j], outside[i] })
	h := m.newHeartbeat(now)
	h.ReplyRequested = true
	m.queueHeartbeats(h, outside[:min(len(outside), outsideAsks)])
}

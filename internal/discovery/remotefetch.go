package discovery

import "time"

const (
	// remoteFetchDelay is how long a host waits, after it has heard of newer state from
	// another data centre, for a host of its own data centre that has it. Up to
	// remoteFetchSpread is added at random, so that one host fetches first and tells the
	// others. The first host of the data centre in the read order does not wait.
	remoteFetchDelay  = 100 * time.Millisecond
	remoteFetchSpread = 250 * time.Millisecond
)

// remoteOffer is newer state that a host of another data centre has.
type remoteOffer struct {
	heartbeat Heartbeat
	// fetchAt is when the state is fetched from there if this host still lacks it.
	fetchAt time.Duration
}

// isBehind reports whether the sender of a heartbeat has state or news that this host
// lacks.
func (m *Machine) isBehind(now time.Duration, h *Heartbeat) bool {
	theirs, ours := h.position(), m.catalog.Position()
	sameReplicas := m.catalog.Loaded() && theirs.Epoch == ours.Epoch && h.Digest == m.catalog.Digest()
	newer := ours.Before(theirs) && !(sameReplicas && m.catalog.Settled())
	return h.Version > m.configVersion() || newer || m.evacuations.Behind(h.Evacuations) || m.wantsNews(now)
}

// fetchNewer requests the state of the sender of a heartbeat, which this host lacks. A
// change should cross to a data centre once and not once for each of its hosts, so that the
// others wait for a host nearby to have it.
func (m *Machine) fetchNewer(now time.Duration, h *Heartbeat) {
	if h.DataCentre == m.self.DataCentre || m.members.firstOf(m.self.DataCentre) {
		m.requestState(now, h.From)
		return
	}
	if m.remoteOffer != nil {
		return
	}
	wait := remoteFetchDelay + time.Duration(m.rng.Int64N(int64(remoteFetchSpread)))
	m.remoteOffer = &remoteOffer{heartbeat: *h, fetchAt: now + wait}
}

// fetchOfferIfDue requests the state that another data centre has, if no host nearby has
// told of it in time.
func (m *Machine) fetchOfferIfDue(now time.Duration) {
	if m.remoteOffer == nil || now < m.remoteOffer.fetchAt {
		return
	}
	offer := m.remoteOffer
	m.remoteOffer = nil
	if m.isBehind(now, &offer.heartbeat) {
		m.requestState(now, offer.heartbeat.From)
	}
}

// announceNearby tells the hosts of the own data centre of state that came from another
// one.
func (m *Machine) announceNearby(now time.Duration, from string) {
	sender := m.members.hosts[from]
	if sender == nil || sender.DataCentre == m.self.DataCentre {
		return
	}
	near, _ := m.members.byDistance(m.self.DataCentre)
	m.queueHeartbeats(m.newHeartbeat(now), near)
}

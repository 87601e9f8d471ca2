package control

import "time"

const (
	// fetchTimeout is how long a fetch may take.
	fetchTimeout = 5 * time.Second
	// watchWait is how long the platform may hold a watch open.
	watchWait = 30 * time.Second
	// minWatchInterval is the least time between the end of a watch and the
	// start of the next one.
	minWatchInterval = 200 * time.Millisecond
	// minPollInterval, maxPollInterval and pollIntervalPerHost determine the
	// interval of the polls that back up the watches. The interval grows with
	// the number of known hosts, so that the total poll rate of the fleet does
	// not.
	minPollInterval     = time.Minute
	maxPollInterval     = 30 * time.Minute
	pollIntervalPerHost = 2 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call to the
	// platform. The delay applies to hosts that are not synchronized yet and to
	// watchers; all other hosts keep the poll interval.
	minBackoff = time.Second
	maxBackoff = 15 * time.Second
	// fleetDiscoveryWait is how long a host listens to heartbeats after its start
	// or a pause before it watches the platform or reads documents from it. Both
	// depend on the other hosts that it knows by then.
	fleetDiscoveryWait = 3 * HeartbeatInterval
)

// fetchState holds the timers and the calls in flight.
type fetchState struct {
	pollAt, watchAt time.Duration
	// The pending fields hold the time when a call in flight times out; zero
	// means that there is none.
	pollPending, watchPending, peerPending time.Duration
	pollBackoff, watchBackoff              time.Duration
	// peerRetryAt is when a revision that is known from hints may be fetched
	// again.
	peerRetryAt time.Duration
	platformUp  bool
	watching    bool
	documents   documentFetches
}

func (f *fetchState) init() { f.documents.init() }

// expire drops the calls that timed out.
func (f *fetchState) expire(now time.Duration, counts *Counts) {
	for _, pending := range []*time.Duration{&f.pollPending, &f.watchPending} {
		if *pending != 0 && now >= *pending {
			*pending = 0
			counts.PlatformFailures++
		}
	}
	if f.peerPending != 0 && now >= f.peerPending {
		f.peerPending = 0
		counts.PeerFailures++
	}
	counts.PeerFailures += f.documents.expire(now)
}

// fleetSizeKnown reports whether the host can compute its share of the calls to
// the platform: it has had enough time to learn of the other hosts, or knows of
// none at all.
func (m *Machine) fleetSizeKnown(now time.Duration) bool {
	return m.roster.KnownCount() == 0 || now-m.sync.startedAt >= min(fleetDiscoveryWait, m.cfg.StartWait)
}

// startDueCalls starts the polls, watches and fetches that are due.
func (m *Machine) startDueCalls(now time.Duration, a *Actions) {
	m.startPoll(now, a)
	m.startWatch(now, a)
	m.fetchHighestKnown(now, a)
}

// startPoll polls the platform if a poll is due and no working watch makes it
// unnecessary.
func (m *Machine) startPoll(now time.Duration, a *Actions) {
	f := &m.fetch
	if now < f.pollAt {
		return
	}
	if f.pollPending != 0 {
		f.pollAt = f.pollPending
		return
	}
	f.pollAt = now + m.pollInterval()
	if f.watchPending != 0 && f.platformUp && m.sync.done {
		return
	}
	f.pollPending = now + fetchTimeout
	m.counts.PlatformCalls++
	a.FetchManifests = append(a.FetchManifests, Source{})
}

// startWatch keeps one watch open while this host is a watcher of its data centre
// and has no candidate whose documents are being fetched.
func (m *Machine) startWatch(now time.Duration, a *Actions) {
	f := &m.fetch
	f.watching = m.fleetSizeKnown(now) && m.roster.IsWatcher(m.store.Revision())
	if !f.watching || f.watchPending != 0 || now < f.watchAt || m.store.CandidateRevision() != 0 {
		return
	}
	f.watchPending = now + watchWait + fetchTimeout
	m.counts.PlatformCalls++
	a.Watches = append(a.Watches, Watch{After: m.store.HighestSeen(), Wait: watchWait})
}

// fetchHighestKnown fetches a higher revision that other hosts have in force
// according to hints, or that an earlier fetch failed to get.
func (m *Machine) fetchHighestKnown(now time.Duration, a *Actions) {
	highest := m.roster.HighestRevision()
	if highest <= max(m.store.HighestSeen(), m.store.CandidateRevision()) || now < m.fetch.peerRetryAt {
		return
	}
	if sources := m.roster.HostsWithRevision(highest, 1); len(sources) > 0 {
		m.fetchFromPeer(now, sources[0], a)
	}
}

func (m *Machine) fetchFromPeer(now time.Duration, peer string, a *Actions) {
	if m.fetch.peerPending != 0 {
		return
	}
	m.fetch.peerPending = now + fetchTimeout
	m.fetch.peerRetryAt = now + HeartbeatInterval
	m.counts.PeerFetches++
	a.FetchManifests = append(a.FetchManifests, Source{Peer: peer})
}

// pollInterval returns the time to the next poll, with jitter.
func (m *Machine) pollInterval() time.Duration {
	interval := time.Duration(m.roster.KnownCount()+1) * pollIntervalPerHost
	return m.withJitter(min(max(interval, minPollInterval), maxPollInterval))
}

// withJitter returns d with a jitter of up to a quarter in either direction.
func (m *Machine) withJitter(d time.Duration) time.Duration {
	return d*3/4 + m.jitter(d/2)
}

// nextBackoff doubles a backoff delay and returns it with jitter.
func (m *Machine) nextBackoff(delay *time.Duration) time.Duration {
	*delay = min(max(*delay*2, minBackoff), maxBackoff)
	return m.withJitter(*delay)
}

// HandleManifest handles the result of a manifest fetch or a watch. data is nil
// if the source has no manifest, or no newer one in the case of a watch.
func (m *Machine) HandleManifest(now time.Duration, source Source, data []byte, err error) Actions {
	a := m.beginEvent(now)
	if source.IsPlatform() {
		m.recordPlatformResult(now, source, err)
	} else {
		m.recordPeerResult(now, err)
	}
	if err == nil && len(data) > 0 {
		m.offerManifest(now, source, data)
	}
	return m.finishEvent(now, a, false)
}

func (m *Machine) recordPlatformResult(now time.Duration, source Source, err error) {
	f := &m.fetch
	nextCall, delay := &f.pollAt, &f.pollBackoff
	if source.Watch {
		nextCall, delay = &f.watchAt, &f.watchBackoff
		f.watchPending = 0
		*nextCall = now + minWatchInterval
	} else {
		f.pollPending = 0
		m.sync.platformAsked = true
	}
	if err != nil {
		m.recordPlatformFailure(err)
		if source.Watch || !m.sync.done {
			*nextCall = now + m.nextBackoff(delay)
		}
		return
	}
	*delay = 0
	f.platformUp = true
	m.sync.platformAnswered = m.sync.platformAnswered || !source.Watch
}

func (m *Machine) recordPeerResult(now time.Duration, err error) {
	m.fetch.peerPending = 0
	if err != nil {
		m.counts.PeerFailures++
		m.fetch.peerRetryAt = now
	}
}

// offerManifest passes a manifest to the store. After a refusal, the next call
// of the same kind is delayed.
func (m *Machine) offerManifest(now time.Duration, source Source, data []byte) {
	installed, err := m.store.OfferManifest(now, data)
	if err != nil {
		m.delayAfterRefusal(now, source)
		return
	}
	if installed {
		m.handleInstalled(now)
	}
}

// delayAfterRefusal delays the next call of the kind that returned a refused
// manifest: the next watch, or the next fetch of a revision known from hints. The
// next poll of the platform is due only after the poll interval anyway.
func (m *Machine) delayAfterRefusal(now time.Duration, source Source) {
	switch {
	case source.Watch:
		m.fetch.watchAt = now + m.nextBackoff(&m.fetch.watchBackoff)
	case !source.IsPlatform():
		m.fetch.peerRetryAt = now + m.withJitter(minPollInterval)
	}
}

// handleInstalled updates the machine after a revision came into force.
func (m *Machine) handleInstalled(now time.Duration) {
	m.counts.Installed++
	m.fetch.documents.clear()
	m.fetch.watchAt = min(m.fetch.watchAt, now)
	m.self.Revision = m.store.Revision()
	m.requestPush(now)
}

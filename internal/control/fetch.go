package control

import "time"

const (
	// fetchTimeout is when a fetch that did not end is given up.
	fetchTimeout = 5 * time.Second
	// watchWait is how long a watch waits on the platform.
	watchWait = 30 * time.Second
	// watchPause is the least time between two watches.
	watchPause = 200 * time.Millisecond
	// minPollInterval, maxPollInterval and pollPerHost give the interval of the
	// polls that back the watches up. It grows with the number of known hosts, so
	// that the fleet's polls a second don't.
	minPollInterval = time.Minute
	maxPollInterval = 30 * time.Minute
	pollPerHost     = 2 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call to the
	// platform, of a host that isn't ready and of a watcher. All others keep to
	// the interval of the polls.
	minBackoff = time.Second
	maxBackoff = 15 * time.Second
	// acquaintWait is how long a host that starts listens to heartbeats before it
	// reads from the platform by what it knows of the fleet.
	acquaintWait = 3 * HeartbeatInterval
)

// fetches holds the timers and the calls in flight.
type fetches struct {
	pollAt, watchAt time.Duration
	// Pending calls hold the time when they are given up; zero means none.
	pollPending, watchPending, peerPending time.Duration
	pollBackoff, watchBackoff              time.Duration
	// peerRetryAt is when a revision known from hints is fetched again.
	peerRetryAt time.Duration
	platformUp  bool
	watching    bool
	documents   documentFetches
}

func (f *fetches) init() { f.documents.init() }

// expire gives up calls that did not end.
func (f *fetches) expire(now time.Duration, counts *Counts) {
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

// acquainted tells whether the host knows of enough others to take only its
// share of the calls, or of none at all.
func (m *Machine) acquainted(now time.Duration) bool {
	return m.roster.KnownCount() == 0 || now-m.sync.since >= min(acquaintWait, m.cfg.StartWait)
}

// schedule starts the calls that are due.
func (m *Machine) schedule(now time.Duration, a *Actions) {
	m.schedulePoll(now, a)
	m.scheduleWatch(now, a)
	m.followHints(now, a)
}

func (m *Machine) schedulePoll(now time.Duration, a *Actions) {
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

// scheduleWatch keeps one watch open while this host is a watcher.
func (m *Machine) scheduleWatch(now time.Duration, a *Actions) {
	f := &m.fetch
	f.watching = m.acquainted(now) && m.roster.IsWatcher(m.store.Revision())
	if !f.watching || f.watchPending != 0 || now < f.watchAt || m.store.CandidateRevision() != 0 {
		return
	}
	f.watchPending = now + watchWait + fetchTimeout
	m.counts.PlatformCalls++
	a.Watches = append(a.Watches, Watch{After: m.store.HighestSeen(), Wait: watchWait})
}

// followHints fetches a revision that hosts are known to have by hearsay, or that
// a fetch failed to get.
func (m *Machine) followHints(now time.Duration, a *Actions) {
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

// pollInterval is the time to the next backstop poll, with jitter.
func (m *Machine) pollInterval() time.Duration {
	interval := time.Duration(m.roster.KnownCount()+1) * pollPerHost
	return m.spread(min(max(interval, minPollInterval), maxPollInterval))
}

// spread returns d with a jitter of a quarter to either side.
func (m *Machine) spread(d time.Duration) time.Duration {
	return d*3/4 + m.jitter(d/2)
}

// backoff doubles a delay and returns it with jitter.
func (m *Machine) backoff(delay *time.Duration) time.Duration {
	*delay = min(max(*delay*2, minBackoff), maxBackoff)
	return m.spread(*delay)
}

// HandleManifest takes the end of a fetch or watch. data is nil if the source has no
// manifest, or a watch no newer one.
func (m *Machine) HandleManifest(now time.Duration, source Source, data []byte, err error) Actions {
	a := m.begin(now)
	if source.IsPlatform() {
		m.platformManifest(now, source, err)
	} else {
		m.peerManifest(now, err)
	}
	if err == nil && len(data) > 0 {
		m.offer(now, source, data)
	}
	return m.end(now, a, false)
}

func (m *Machine) platformManifest(now time.Duration, source Source, err error) {
	f := &m.fetch
	at, delay := &f.pollAt, &f.pollBackoff
	if source.Watch {
		at, delay = &f.watchAt, &f.watchBackoff
		f.watchPending = 0
		*at = now + watchPause
	} else {
		f.pollPending = 0
		m.sync.platformAsked = true
	}
	if err != nil {
		m.platformFailed(err)
		if source.Watch || !m.sync.done {
			*at = now + m.backoff(delay)
		}
		return
	}
	*delay = 0
	f.platformUp = true
	m.sync.platformAnswered = m.sync.platformAnswered || !source.Watch
}

func (m *Machine) peerManifest(now time.Duration, err error) {
	m.fetch.peerPending = 0
	if err != nil {
		m.counts.PeerFailures++
		m.fetch.peerRetryAt = now
	}
}

// offer hands a manifest to the store. A refused manifest isn't asked for again
// for a while.
func (m *Machine) offer(now time.Duration, source Source, data []byte) {
	installed, err := m.store.OfferManifest(now, data)
	if err != nil {
		m.refusedFrom(now, source)
		return
	}
	if installed {
		m.installed(now)
	}
}

func (m *Machine) refusedFrom(now time.Duration, source Source) {
	switch {
	case source.Watch:
		m.fetch.watchAt = now + m.backoff(&m.fetch.watchBackoff)
	case !source.IsPlatform():
		m.fetch.peerRetryAt = now + m.spread(minPollInterval)
	}
}

// installed follows a revision coming into force.
func (m *Machine) installed(now time.Duration) {
	m.counts.Installed++
	m.fetch.documents.clear()
	m.fetch.watchAt = min(m.fetch.watchAt, now)
	m.self.Revision = m.store.Revision()
	m.announce(now)
}

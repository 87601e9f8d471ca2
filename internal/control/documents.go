package control

import "time"

const (
	// maxDocumentFetches bounds the document fetches in flight.
	maxDocumentFetches = 8
	// documentRetryDelay is the time before documents that could not be
	// requested from any source are tried again.
	documentRetryDelay = 200 * time.Millisecond
	// peerAttempts is how many times a document is requested from peers before
	// it is requested from the platform.
	peerAttempts = 3
	// watcherCallsPerSecond and watcherBurst limit the rate at which a watcher
	// reads documents from the platform.
	watcherCallsPerSecond = 40
	watcherBurst          = 20
	// fleetCallsPerSecond limits the rate at which all hosts that are not watchers
	// together read documents from the platform. Each host gets an equal share,
	// with a burst of fleetBurst.
	fleetCallsPerSecond = 100
	fleetBurst          = 2
)

// documentFetches tracks the document fetches in flight.
type documentFetches struct {
	// pending holds the time when each fetch in flight times out, by document
	// hash.
	pending map[string]time.Duration
	// attempts counts the failed fetches of each document.
	attempts map[string]int
	// tokens is what is left of the budget for reads from the platform.
	tokens     float64
	refilledAt time.Duration
	// retryAt is when sources are next looked for, after none was available.
	retryAt time.Duration
}

func (d *documentFetches) init() {
	d.pending = make(map[string]time.Duration)
	d.attempts = make(map[string]int)
}

func (d *documentFetches) clear() {
	clear(d.pending)
	clear(d.attempts)
	d.retryAt = 0
}

// expire drops the fetches that timed out and returns their number.
func (d *documentFetches) expire(now time.Duration) uint64 {
	var n uint64
	for hash, deadline := range d.pending {
		if now >= deadline {
			delete(d.pending, hash)
			d.attempts[hash]++
			n++
		}
	}
	return n
}

// takeToken takes one token of this host's budget for reads from the platform. It
// reports whether there was one.
func (d *documentFetches) takeToken(now time.Duration, perSecond, burst float64) bool {
	d.tokens = min(burst, d.tokens+(now-d.refilledAt).Seconds()*perSecond)
	d.refilledAt = now
	if d.tokens < 1 {
		return false
	}
	d.tokens--
	return true
}

// fetchMissingDocuments requests the documents that the candidate lacks: first
// from peers that have its revision in force, then from the platform, within a
// budget that all hosts share.
func (m *Machine) fetchMissingDocuments(now time.Duration, a *Actions) {
	d := &m.fetch.documents
	if len(m.store.MissingDocuments()) == 0 || len(d.pending) >= maxDocumentFetches || now < d.retryAt {
		return
	}
	peers := m.roster.HostsWithRevision(m.store.CandidateRevision(), maxDocumentFetches)
	countBefore := len(a.FetchDocuments)
	for _, ref := range m.store.MissingDocuments() {
		if len(d.pending) >= maxDocumentFetches {
			break
		}
		if _, pending := d.pending[ref.Hash]; pending {
			continue
		}
		source, ok := m.chooseDocumentSource(now, ref.Hash, peers)
		if !ok {
			continue
		}
		d.pending[ref.Hash] = now + fetchTimeout
		a.FetchDocuments = append(a.FetchDocuments, FetchDocument{Source: source, Hash: ref.Hash})
	}
	if len(a.FetchDocuments) == countBefore {
		d.retryAt = now + documentRetryDelay
	}
}

// chooseDocumentSource returns the source to request a document from, if one is
// available now.
func (m *Machine) chooseDocumentSource(now time.Duration, hash string, peers []string) (Source, bool) {
	if len(peers) > 0 && m.fetch.documents.attempts[hash]%(peerAttempts+1) < peerAttempts {
		m.counts.PeerFetches++
		return Source{Peer: peers[m.rng.IntN(len(peers))]}, true
	}
	if !m.fleetSizeKnown(now) {
		return Source{}, false
	}
	perSecond, burst := float64(fleetCallsPerSecond)/float64(m.roster.KnownCount()+1), float64(fleetBurst)
	if m.fetch.watching {
		perSecond, burst = watcherCallsPerSecond, watcherBurst
	}
	if !m.fetch.documents.takeToken(now, perSecond, burst) {
		return Source{}, false
	}
	m.counts.PlatformCalls++
	return Source{}, true
}

// HandleDocument handles the result of a document fetch. data is nil if the
// source does not have the document.
func (m *Machine) HandleDocument(now time.Duration, source Source, hash string, data []byte, err error) Actions {
	a := m.beginEvent(now)
	delete(m.fetch.documents.pending, hash)
	m.addDocument(now, source, hash, data, err)
	return m.finishEvent(now, a, false)
}

func (m *Machine) addDocument(now time.Duration, source Source, hash string, data []byte, err error) {
	if err != nil || len(data) == 0 {
		m.recordDocumentFailure(source, hash, err)
		return
	}
	installed, err := m.store.AddDocument(now, hash, data)
	if err != nil {
		m.fetch.documents.attempts[hash]++
		return
	}
	if installed {
		m.handleInstalled(now)
	}
}

func (m *Machine) recordDocumentFailure(source Source, hash string, err error) {
	m.fetch.documents.attempts[hash]++
	if !source.IsPlatform() {
		m.counts.PeerFailures++
		return
	}
	if err != nil {
		m.recordPlatformFailure(err)
	}
}

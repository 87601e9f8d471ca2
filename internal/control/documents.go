package control

import "time"

const (
	// maxDocumentFetches bounds the document fetches in flight.
	maxDocumentFetches = 8
	// documentRetry is how soon documents that no source could be asked for are
	// tried again.
	documentRetry = 200 * time.Millisecond
	// peerTries is how many peers are asked for a document before the platform.
	peerTries = 3
	// watcherCallsPerSecond and watcherBurst bound a watcher's document reads from
	// the platform.
	watcherCallsPerSecond = 40
	watcherBurst          = 20
	// fleetCallsPerSecond bounds the document reads of all other hosts together;
	// each takes an equal share.
	fleetCallsPerSecond = 100
	fleetBurst          = 2
)

// documentFetches holds the document fetches in flight.
type documentFetches struct {
	pending map[string]time.Duration
	tries   map[string]int
	tokens  float64
	filled  time.Duration
	// retryAt is when sources are looked for again after none could be asked.
	retryAt time.Duration
}

func (d *documentFetches) init() {
	d.pending = make(map[string]time.Duration)
	d.tries = make(map[string]int)
}

func (d *documentFetches) clear() {
	clear(d.pending)
	clear(d.tries)
	d.retryAt = 0
}

// expire gives up fetches that did not end, and returns their number.
func (d *documentFetches) expire(now time.Duration) uint64 {
	var n uint64
	for hash, until := range d.pending {
		if now >= until {
			delete(d.pending, hash)
			d.tries[hash]++
			n++
		}
	}
	return n
}

// take spends one token of the platform's read budget.
func (d *documentFetches) take(now time.Duration, perSecond, burst float64) bool {
	d.tokens = min(burst, d.tokens+(now-d.filled).Seconds()*perSecond)
	d.filled = now
	if d.tokens < 1 {
		return false
	}
	d.tokens--
	return true
}

// fetchDocuments asks for the candidate's missing documents: peers that have the
// revision in force first, then the platform, within a budget that all hosts
// share.
func (m *Machine) fetchDocuments(now time.Duration, a *Actions) {
	d := &m.fetch.documents
	if len(m.store.MissingDocuments()) == 0 || len(d.pending) >= maxDocumentFetches || now < d.retryAt {
		return
	}
	peers := m.roster.HostsWithRevision(m.store.CandidateRevision(), maxDocumentFetches)
	started := len(a.FetchDocuments)
	for _, ref := range m.store.MissingDocuments() {
		if len(d.pending) >= maxDocumentFetches {
			break
		}
		if _, asked := d.pending[ref.Hash]; asked {
			continue
		}
		source, ok := m.documentSource(now, ref.Hash, peers)
		if !ok {
			continue
		}
		d.pending[ref.Hash] = now + fetchTimeout
		a.FetchDocuments = append(a.FetchDocuments, FetchDocument{Source: source, Hash: ref.Hash})
	}
	if len(a.FetchDocuments) == started {
		d.retryAt = now + documentRetry
	}
}

// documentSource chooses whom to ask for a document, if anyone may be asked now.
func (m *Machine) documentSource(now time.Duration, hash string, peers []string) (Source, bool) {
	if len(peers) > 0 && m.fetch.documents.tries[hash]%(peerTries+1) < peerTries {
		m.counts.PeerFetches++
		return Source{Peer: peers[m.rng.IntN(len(peers))]}, true
	}
	if !m.acquainted(now) {
		return Source{}, false
	}
	perSecond, burst := float64(fleetCallsPerSecond)/float64(m.roster.KnownCount()+1), float64(fleetBurst)
	if m.fetch.watching {
		perSecond, burst = watcherCallsPerSecond, watcherBurst
	}
	if !m.fetch.documents.take(now, perSecond, burst) {
		return Source{}, false
	}
	m.counts.PlatformCalls++
	return Source{}, true
}

// HandleDocument takes the end of a document fetch. data is nil if the source doesn't
// have the document.
func (m *Machine) HandleDocument(now time.Duration, source Source, hash string, data []byte, err error) Actions {
	a := m.begin(now)
	delete(m.fetch.documents.pending, hash)
	m.supply(now, source, hash, data, err)
	return m.end(now, a, false)
}

func (m *Machine) supply(now time.Duration, source Source, hash string, data []byte, err error) {
	if err != nil || len(data) == 0 {
		m.documentFailed(source, hash, err)
		return
	}
	installed, err := m.store.AddDocument(now, hash, data)
	if err != nil {
		m.fetch.documents.tries[hash]++
		return
	}
	if installed {
		m.installed(now)
	}
}

func (m *Machine) documentFailed(source Source, hash string, err error) {
	m.fetch.documents.tries[hash]++
	if !source.IsPlatform() {
		m.counts.PeerFailures++
		return
	}
	if err != nil {
		m.platformFailed(err)
	}
}

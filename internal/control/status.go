package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/configuration"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/roster"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Status describes the machine for operators. It does not change once returned.
type Status struct {
	Self view.Host
	// Ready tells whether the host accepts requests; Reason tells why it does
	// not.
	Ready  bool
	Reason result.Code
	// Alone tells that neither a peer nor the platform has answered, and that
	// the host serves with the configuration that it had.
	Alone bool
	// PlatformUp tells whether the last call to the platform succeeded.
	PlatformUp bool
	// Watching tells whether this host watches the platform on behalf of its
	// data centre.
	Watching      bool
	Configuration ConfigurationStatus
	// Hosts are the known hosts except this one, sorted by address.
	Hosts []roster.HostStatus
	// Leaving are the draining endpoints, sorted by ID.
	Leaving []LeavingEndpoint
	// Suspects are the requests that were in flight when endpoints crashed,
	// sorted by fingerprint.
	Suspects []Suspect
	Counts   Counts
}

// ConfigurationStatus describes the configuration of this host.
type ConfigurationStatus struct {
	Revision     config.Revision
	ManifestHash string
	// Candidate is the revision being fetched, or zero; Missing is the number of
	// its documents that were not fetched yet.
	Candidate config.Revision
	Missing   int
	Refusals  []configuration.Refusal
	// LastRefusal is the last refusal, or nil.
	LastRefusal *result.Error
}

// LeavingEndpoint is an endpoint that gets no new requests for the next TTL.
type LeavingEndpoint struct {
	Endpoint string
	TTL      time.Duration
}

// Suspect is a request that was in flight when an endpoint crashed, and is
// suspected or quarantined.
type Suspect struct {
	Fingerprint view.Fingerprint
	Degree      view.Suspicion
}

// Status returns the state of the machine at the time now.
func (m *Machine) Status(now time.Duration) Status {
	reason := m.notReadyReason()
	return Status{
		Self:       m.self,
		Ready:      reason == 0,
		Reason:     reason,
		Alone:      m.sync.alone,
		PlatformUp: m.fetch.platformUp,
		Watching:   m.fetch.watching,
		Configuration: ConfigurationStatus{
			Revision:     m.store.Revision(),
			ManifestHash: m.store.ManifestHash(),
			Candidate:    m.store.CandidateRevision(),
			Missing:      len(m.store.MissingDocuments()),
			Refusals:     m.store.Refusals(),
			LastRefusal:  m.store.LastRefusal(),
		},
		Hosts:    m.roster.HostStatuses(now),
		Leaving:  m.leavingStatus(now),
		Suspects: m.suspectStatus(),
		Counts:   m.counts,
	}
}

func (m *Machine) leavingStatus(now time.Duration) []LeavingEndpoint {
	out := make([]LeavingEndpoint, 0, len(m.leaving.expiresAt))
	for endpoint, expiry := range m.leaving.expiresAt {
		if now < expiry {
			out = append(out, LeavingEndpoint{Endpoint: endpoint, TTL: expiry - now})
		}
	}
	slices.SortFunc(out, func(a, b LeavingEndpoint) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return out
}

func (m *Machine) suspectStatus() []Suspect {
	degrees := m.cfg.Quarantine.Degrees()
	out := make([]Suspect, 0, len(degrees))
	for f, degree := range degrees {
		out = append(out, Suspect{Fingerprint: f, Degree: degree})
	}
	slices.SortFunc(out, func(a, b Suspect) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

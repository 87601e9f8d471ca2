// Package admin defines the JSON messages of the admin API, version 1.
// docs/ADMIN-API.md describes the paths. Every path takes GET only; nothing can
// be changed through it.
package admin

// Paths of the admin API.
const (
	PathConfiguration = "/admin/v1/configuration"
	PathHosts         = "/admin/v1/hosts"
	PathEndpoints     = "/admin/v1/endpoints"
	PathQuarantine    = "/admin/v1/quarantine"
	PathPermits       = "/admin/v1/permits"
	PathReadiness     = "/admin/v1/readiness"
	// PathMetrics returns counters in Prometheus text format.
	PathMetrics = "/metrics"
	// PathLive answers 200 while the process runs.
	PathLive = "/live"
	// PathReady answers 200 while the host takes requests, and 503 otherwise.
	PathReady = "/ready"
)

// Reason is a numbered result code with its name and meaning.
type Reason struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Meaning string `json:"meaning"`
	// Detail says what was seen; it may be empty.
	Detail string `json:"detail,omitempty"`
}

// Refusal counts refused values of one reason.
type Refusal struct {
	Reason
	Count uint64 `json:"count"`
}

// Configuration describes the configuration here and across the fleet.
type Configuration struct {
	Revision     uint64 `json:"revision"`
	ManifestHash string `json:"manifest_hash"`
	// Candidate is the revision being fetched, or zero; Missing is the number of
	// its documents that are not there yet.
	Candidate uint64 `json:"candidate,omitempty"`
	Missing   int    `json:"missing,omitempty"`
	// Watching tells whether this host watches the platform for its data centre.
	Watching bool `json:"watching"`
	// PlatformUp tells whether this host's last call to the platform succeeded.
	PlatformUp  bool                 `json:"platform_up"`
	Refusals    []Refusal            `json:"refusals"`
	LastRefusal *Reason              `json:"last_refusal,omitempty"`
	Fleet       []FleetRevision      `json:"fleet"`
	Services    []string             `json:"services"`
	Spread      DistributionCounters `json:"spread"`
}

// FleetRevision counts the live hosts, this one included, that have a revision
// in force as far as this host has heard.
type FleetRevision struct {
	Revision uint64 `json:"revision"`
	Hosts    int    `json:"hosts"`
}

// DistributionCounters counts what this host did to learn and spread the configuration.
type DistributionCounters struct {
	HeartbeatsSent     uint64 `json:"heartbeats_sent"`
	HeartbeatsReceived uint64 `json:"heartbeats_received"`
	HeartbeatsRefused  uint64 `json:"heartbeats_refused"`
	PlatformCalls      uint64 `json:"platform_calls"`
	PlatformFailures   uint64 `json:"platform_failures"`
	PeerFetches        uint64 `json:"peer_fetches"`
	PeerFailures       uint64 `json:"peer_failures"`
	Pauses             uint64 `json:"pauses"`
	Installed          uint64 `json:"installed"`
}

// Hosts lists the known hosts, this one first.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// Host is one known host.
type Host struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// State is starting, ready or leaving.
	State string `json:"state"`
	// Start identifies the incarnation, in hexadecimal.
	Start    string `json:"start"`
	Revision uint64 `json:"revision"`
	Self     bool   `json:"self"`
	// Alive tells whether the host is believed alive.
	Alive bool `json:"alive"`
	// Seed tells whether the host's settings name it.
	Seed bool `json:"seed"`
	// AgeMS is the time since the host itself was heard, over all hops, in
	// milliseconds; it is -1 if it never was.
	AgeMS int64 `json:"age_ms"`
}

// Endpoints lists the endpoints of the configuration in force by ID.
type Endpoints struct {
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one endpoint.
type Endpoint struct {
	ID             string `json:"id"`
	Service        string `json:"service"`
	DataCentre     string `json:"data_centre"`
	Address        string `json:"address"`
	Slots          int    `json:"slots"`
	MaxConnections int    `json:"max_connections"`
	// Out holds why the endpoint gets no work or less of it; it is empty if it
	// gets work.
	Out []OutReason `json:"out"`
	// Relays are the peer addresses of its relays in order of preference.
	Relays []string `json:"relays"`
	// Share is the number of connections that this host may hold; zero if it
	// doesn't relay to the endpoint.
	Share int `json:"share"`
}

// OutReason is a reason why an endpoint is out.
type OutReason struct {
	Reason
	// TTLMS is when the reason ends without a further sign, in milliseconds; zero
	// if it doesn't end by itself.
	TTLMS int64 `json:"ttl_ms,omitempty"`
}

// Quarantine lists the requests that crashed endpoints.
type Quarantine struct {
	Requests []Suspect `json:"requests"`
}

// Suspect is a request that crashed endpoints.
type Suspect struct {
	// Fingerprint identifies service and content, in hexadecimal.
	Fingerprint string `json:"fingerprint"`
	// Degree is suspected or quarantined.
	Degree string `json:"degree"`
}

// Permits gives the permits that this host issued, in numbers by service.
type Permits struct {
	Services []ServicePermits `json:"services"`
}

// ServicePermits gives the permits of one service on this host.
type ServicePermits struct {
	Service string `json:"service"`
	// Limit bounds the permits held.
	Limit int `json:"limit"`
	// Issued permits wait for their submit; Dispatched ones are running or their
	// outcome is open; Closed ones are kept to repeat their outcome.
	Issued     int `json:"issued"`
	Dispatched int `json:"dispatched"`
	Closed     int `json:"closed"`
}

// Readiness tells whether the host takes requests, and why not.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason is absent if the host is ready.
	Reason *Reason `json:"reason,omitempty"`
	// Alone tells that neither a peer nor the platform has answered, and that the
	// host serves with what it had.
	Alone bool `json:"alone"`
}

// Error is the body of every reply that isn't 2xx, but those of PathReady.
type Error struct {
	Reason
}

// Package admin defines the JSON messages of the admin API, version 1.
// docs/ADMIN-API.md describes the paths. The API is read-only: every path accepts only
// GET.
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
	// PathReady answers 200 while the host accepts requests, and 503 otherwise.
	PathReady = "/ready"
)

// Reason is a result code with its name and meaning.
type Reason struct {
	Code    int    `json:"code"`
	Name    string `json:"name"`
	Meaning string `json:"meaning"`
	// Detail describes the particular case; it may be empty.
	Detail string `json:"detail,omitempty"`
}

// Refusal counts the manifests and documents that were refused for one reason.
type Refusal struct {
	Reason
	Count uint64 `json:"count"`
}

// Configuration describes the configuration on this host and across the fleet.
type Configuration struct {
	Revision     uint64 `json:"revision"`
	ManifestHash string `json:"manifest_hash"`
	// Candidate is the revision being fetched, or zero. Missing is the number of its
	// documents that have not been fetched yet.
	Candidate uint64 `json:"candidate,omitempty"`
	Missing   int    `json:"missing,omitempty"`
	// Watching is true if this host watches the platform on behalf of its data centre.
	Watching bool `json:"watching"`
	// PlatformUp is true if this host's last call to the platform succeeded.
	PlatformUp  bool                 `json:"platform_up"`
	Refusals    []Refusal            `json:"refusals"`
	LastRefusal *Reason              `json:"last_refusal,omitempty"`
	Fleet       []FleetRevision      `json:"fleet"`
	Services    []string             `json:"services"`
	Spread      DistributionCounters `json:"spread"`
}

// FleetRevision counts the live hosts, including this one, that have a revision in
// force according to the latest heartbeats that this host received.
type FleetRevision struct {
	Revision uint64 `json:"revision"`
	Hosts    int    `json:"hosts"`
}

// DistributionCounters counts what this host did to receive the configuration and to
// distribute it to its peers.
type DistributionCounters struct {
	HeartbeatsSent     uint64 `json:"heartbeats_sent"`
	HeartbeatsReceived uint64 `json:"heartbeats_received"`
	// HeartbeatsRefused counts the received heartbeats that did not identify the sending
	// host or named this host's own address.
	HeartbeatsRefused uint64 `json:"heartbeats_refused"`
	PlatformCalls     uint64 `json:"platform_calls"`
	PlatformFailures  uint64 `json:"platform_failures"`
	PeerFetches       uint64 `json:"peer_fetches"`
	PeerFailures      uint64 `json:"peer_failures"`
	// Pauses counts the times that the process did not run for so long that its state
	// may have become stale, for example because it was suspended.
	Pauses uint64 `json:"pauses"`
	// Installed counts the revisions that came into force on this host.
	Installed uint64 `json:"installed"`
}

// Hosts lists the hosts that this host knows, itself first.
type Hosts struct {
	Hosts []Host `json:"hosts"`
}

// Host is one known host.
type Host struct {
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	// State is starting, ready or leaving.
	State string `json:"state"`
	// Start identifies the run of the host's process, in hexadecimal.
	Start    string `json:"start"`
	Revision uint64 `json:"revision"`
	Self     bool   `json:"self"`
	// Alive is true if this host considers the host alive.
	Alive bool `json:"alive"`
	// Seed is true if this host's settings list the host as a peer.
	Seed bool `json:"seed"`
	// AgeMS is the age of the latest heartbeat of the host, in milliseconds, including
	// the time that it took to arrive over other hosts. It is -1 if there was none.
	AgeMS int64 `json:"age_ms"`
}

// Endpoints lists the endpoints of the configuration in force, ordered by ID.
type Endpoints struct {
	Endpoints []Endpoint `json:"endpoints"`
}

// Endpoint is one endpoint as this host sees it.
type Endpoint struct {
	ID             string `json:"id"`
	Service        string `json:"service"`
	DataCentre     string `json:"data_centre"`
	Address        string `json:"address"`
	Slots          int    `json:"slots"`
	MaxConnections int    `json:"max_connections"`
	// Out lists the reasons why the endpoint gets no requests or fewer of them; it is
	// empty if there are none.
	Out []OutReason `json:"out"`
	// Relays are the peer addresses of the hosts that relay to the endpoint, in order of
	// preference.
	Relays []string `json:"relays"`
	// Share is the number of connections to the endpoint that this host may hold; zero
	// if it is not one of the relays.
	Share int `json:"share"`
}

// OutReason is a reason why an endpoint gets no requests or fewer of them.
type OutReason struct {
	Reason
	// TTLMS is the time after which the reason expires unless it is observed again, in
	// milliseconds; zero if it does not expire.
	TTLMS int64 `json:"ttl_ms,omitempty"`
}

// Quarantine lists the requests that are suspected of crashing endpoints.
type Quarantine struct {
	Requests []Suspect `json:"requests"`
}

// Suspect is a request that is suspected of crashing endpoints.
type Suspect struct {
	// Fingerprint is a hash of the service and the content of the request, in
	// hexadecimal.
	Fingerprint string `json:"fingerprint"`
	// Degree is suspected or quarantined.
	Degree string `json:"degree"`
}

// Permits gives the number of permits that this host has issued, by service.
type Permits struct {
	Services []ServicePermits `json:"services"`
}

// ServicePermits gives the number of permits of one service on this host.
type ServicePermits struct {
	Service string `json:"service"`
	// Limit is the maximum number of permits that the host holds for the service.
	Limit int `json:"limit"`
	// Issued permits have not been submitted. Dispatched ones are running or their
	// outcome is unknown. Closed ones are kept so that a repeated submit gets the same
	// outcome.
	Issued     int `json:"issued"`
	Dispatched int `json:"dispatched"`
	Closed     int `json:"closed"`
}

// Readiness states whether the host accepts requests, and if not, why.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason is absent if the host is ready.
	Reason *Reason `json:"reason,omitempty"`
	// Alone is true if neither a peer nor the platform has answered, so that the host
	// serves with the configuration that it already had.
	Alone bool `json:"alone"`
}

// Error is the body of every reply with a status other than 2xx, except those of
// PathReady.
type Error struct {
	Reason
}

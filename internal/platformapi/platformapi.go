// Package platformapi defines the HTTP messages between hosts and the
// platform's configuration service. docs/PLATFORM.md describes the protocol.
// Every call is a GET; hosts never write.
package platformapi

// Paths of the platform's service.
const (
	// PathManifest returns the bytes of the current manifest.
	PathManifest = "/v1/manifest"
	// PathWatch waits until the revision is above ?after=N, for at most
	// ?wait_ms=N, then returns the manifest, or 204 if there is none newer.
	PathWatch = "/v1/watch"
	// PathDocument is the prefix of documents by hash.
	PathDocument = "/v1/documents/"
	// PathHosts returns a HostList.
	PathHosts = "/v1/hosts"
)

// HostState is the state of a host as the platform lists it.
type HostState string

// The states of listed hosts.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// HostEntry is one host that the platform lists. The list lags.
type HostEntry struct {
	// Address is the host's peer address, IP and port.
	Address    string    `json:"address" msgpack:"a"`
	DataCentre string    `json:"data_centre" msgpack:"d"`
	State      HostState `json:"state" msgpack:"s"`
}

// HostList is the reply of PathHosts.
type HostList struct {
	Hosts []HostEntry `json:"hosts"`
}

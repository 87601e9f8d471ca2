// Package view defines the immutable state that package control publishes to the
// coordinator and the relay. Request handling reads the latest view through an
// atomic pointer and never waits for package control.
package view

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Incarnation identifies one run of one host. A restarted or replaced host has
// the same Address and another Start.
type Incarnation struct {
	// Address is the host's peer address: IP and port.
	Address string `json:"address" msgpack:"a"`
	// Start is a random number drawn at process start; it is never zero.
	Start uint64 `json:"start" msgpack:"s"`
}

// HostState is the state that a host announces in its heartbeats.
type HostState uint8

// The states of a host.
const (
	HostStarting HostState = iota
	HostReady
	HostLeaving
)

// Host describes one host of the fleet.
type Host struct {
	Incarnation Incarnation
	DataCentre  string
	State       HostState
	// Revision is the configuration revision in force on the host.
	Revision config.Revision
}

// Suspicion is the degree to which a request is suspected of crashing endpoints.
// Requests that were in flight when an endpoint crashed become suspects.
type Suspicion uint8

// The degrees of suspicion.
const (
	NotSuspected Suspicion = iota
	// Suspected requests run on one replica, without other requests, and are never
	// hedged.
	Suspected
	// Quarantined requests are refused.
	Quarantined
)

// String returns the name of the degree.
func (s Suspicion) String() string { return [...]string{"innocent", "suspected", "quarantined"}[s] }

// Fingerprint identifies a request by its service and normalized content.
type Fingerprint uint64

// View is one published state. It is immutable, and so is all that it refers to.
type View struct {
	// PublishedAt is the time of publication, by this host's monotonic clock.
	PublishedAt time.Duration
	Self        Host
	Bundle      *config.Bundle
	// Hosts are the live hosts except Self, sorted by address.
	Hosts []Host
	// LeavingEndpoints holds the IDs of the endpoints that are draining according to
	// any source.
	LeavingEndpoints map[string]bool
	// Suspects holds the requests that are suspected of crashing endpoints.
	Suspects map[Fingerprint]Suspicion
	// Relays maps an endpoint ID to the peer addresses of its relays in order of
	// preference. Self's address means a direct connection.
	Relays map[string][]string
	// ConnectionShares maps an endpoint ID to this host's share of its connection
	// cap.
	ConnectionShares map[string]int
	// Ready reports whether the host accepts requests; Reason is the cause if not.
	Ready  bool
	Reason result.Code
}

// Observation is an event in request handling that is reported to package control.
// Exactly one field is set.
type Observation struct {
	// LeavingEndpoint is the ID of an endpoint that announced that it is draining.
	LeavingEndpoint string
	// Crash is set when an endpoint was lost with requests in flight.
	Crash *Crash
	// Recovered are suspected requests that completed.
	Recovered []Fingerprint
}

// Crash reports the loss of an endpoint and the requests that it was running.
type Crash struct {
	Endpoint string
	InFlight []Fingerprint
	// Isolated is set if the only request in flight ran in isolation.
	Isolated bool
}

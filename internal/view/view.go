// Package view defines the immutable state that the control machine publishes
// to the coordinator and the relay. Traffic reads the last view through an
// atomic pointer and never waits for control.
package view

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Incarnation identifies one run of one host. A restarted or replaced host has
// the same Address and another Start.
type Incarnation struct {
	// Address is the host's peer address, IP and port.
	Address string `json:"address" msgpack:"a"`
	// Start is a random number drawn at process start; it is never zero.
	Start uint64 `json:"start" msgpack:"s"`
}

// HostState is the state that a host announces.
type HostState uint8

// The states of a host.
const (
	HostStarting HostState = iota
	HostReady
	HostLeaving
)

// Host is a member of the roster.
type Host struct {
	Incarnation Incarnation
	DataCentre  string
	State       HostState
	Revision    config.Revision
}

// Suspicion is what is known of a request that was in flight when an endpoint
// crashed.
type Suspicion uint8

// The degrees of suspicion.
const (
	NotSuspected Suspicion = iota
	// Suspected requests run alone on one replica and are never hedged.
	Suspected
	// Quarantined requests are refused.
	Quarantined
)

// String returns the name of the degree.
func (s Suspicion) String() string { return [...]string{"innocent", "suspected", "quarantined"}[s] }

// Fingerprint identifies a request by service and normalized content.
type Fingerprint uint64

// View is one published state. It and all it refers to are immutable.
type View struct {
	// PublishedAt is the monotonic time of publication on this host.
	PublishedAt time.Duration
	Self        Host
	Bundle      *config.Bundle
	// Hosts are the live hosts without Self, sorted by address.
	Hosts []Host
	// Leaving holds the endpoints that are draining by any sign.
	Leaving map[string]bool
	// Suspects holds the requests that crashed endpoints.
	Suspects map[Fingerprint]Suspicion
	// Relays maps an endpoint to the peer addresses of its relays in order of
	// preference. Self's address stands for the direct path.
	Relays map[string][]string
	// ConnectionShares is this host's share of an endpoint's connection cap.
	ConnectionShares map[string]int
	// Ready tells whether the host takes requests; Reason says why not.
	Ready  bool
	Reason result.Code
}

// Observation is what traffic reports to control. Exactly one field is set.
type Observation struct {
	// Leaving is an endpoint seen draining.
	Leaving string
	// Crash is an endpoint that went away with requests in flight.
	Crash *Crash
	// Recovered are suspects that ran to the end.
	Recovered []Fingerprint
}

// Crash reports an endpoint's loss and the requests it was running.
type Crash struct {
	Endpoint string
	InFlight []Fingerprint
	// Isolated tells that the single request in flight ran in isolation.
	Isolated bool
}

package discovery

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/catalog"
	"github.com/gypsumlug/gypsumlug/internal/evacuation"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
	"github.com/gypsumlug/gypsumlug/internal/storepos"
)

// ReadRequest is a request to read the store.
type ReadRequest struct {
	// After is the revision after which changes are read; zero reads everything.
	After uint64
	// Known is the position that this host has as the read begins.
	Known storepos.Position
	// Wait is how long the store may wait for a change.
	Wait time.Duration
	// Audit is set for a full listing while the changes could be read. Its failure does
	// not count as one of the store.
	Audit bool
}

// ReadResult is the result of a ReadRequest.
type ReadResult struct {
	Request ReadRequest
	// Started is when the read began.
	Started time.Duration
	Config  *routing.Config
	Entries []catalog.Entry
	// Evacuations are the evacuated data centres, or the changes of them.
	Evacuations []evacuation.Entry
	// Epoch and Revision are the store's position after which changes are to be read next.
	Epoch    uint64
	Revision uint64
	Err      error
}

// position returns the store's position.
func (r *ReadResult) position() storepos.Position {
	return storepos.Position{Epoch: r.Epoch, Revision: r.Revision}
}

// OutgoingHeartbeat is a heartbeat to the host at a peer address.
type OutgoingHeartbeat struct {
	To        string
	Heartbeat Heartbeat
	// Remote is set if the host is in another data centre, as far as that is known. Round
	// is set if the heartbeat is part of a regular round, and not a confirmation, a
	// question or an answer.
	Remote, Round bool
}

// CarriesHints reports whether the heartbeat is to carry what the sender has learned of the
// load and the failures of replicas. Those to other data centres do so in regular rounds only,
// since bytes between data centres are charged for.
func (o *OutgoingHeartbeat) CarriesHints() bool { return o.Round || !o.Remote }

// Actions are the outputs of one step.
type Actions struct {
	// Read is set if the store is to be read.
	Read *ReadRequest
	// FetchFrom is the address of the peer to send FetchRequest to, if not empty.
	FetchFrom    string
	FetchRequest StateRequest
	Heartbeats   []OutgoingHeartbeat
	// View is set when the configuration or the replicas changed.
	View *routing.View
	// HostCount is the number of hosts among which limits are divided. It is set when
	// it changes.
	HostCount int
	// Peers are the other hosts. It is set when they change.
	Peers []split.Peer
	// Isolation is set when the host's data centre appears to be cut off from all
	// others, or no longer does.
	Isolation *bool
	// Changes are the changes to log.
	Changes []Change
}

// ChangeKind is what a Change is about. Its value is the log message.
type ChangeKind string

// The kinds of changes.
const (
	ChangeConfig         ChangeKind = "configuration in force"
	ChangeReplicas       ChangeKind = "replicas changed"
	ChangeStoreFailed    ChangeKind = "store lost"
	ChangeStoreRecovered ChangeKind = "store regained"
	ChangeFleetSize      ChangeKind = "fleet size changed"
	ChangeFetchError     ChangeKind = "fetch from peer failed"
	ChangeDiverged       ChangeKind = "replicas differ from peer's"
	ChangeIsolated       ChangeKind = "data centre cut off"
	ChangeRejoined       ChangeKind = "data centre no longer cut off"
	ChangeEvacuated      ChangeKind = "evacuation begun"
	ChangeRestored       ChangeKind = "evacuation ended"
	ChangeStoreEpoch     ChangeKind = "store was restored from an older copy"
)

// Change is a change of the host's state, for the log.
type Change struct {
	Kind ChangeKind
	// Source is "store", "expiry" or a peer's address.
	Source  string
	Version uint64
	// Epoch is the store's epoch, for changes of the epoch.
	Epoch        uint64
	Revision     uint64
	ReplicaCount int
	// Digest is that of the replicas, for changes of the replicas.
	Digest    uint64
	HostCount int
	// DataCentre and Age are set for changes of evacuations. Age is the time since the
	// store confirmed the state that has the change.
	DataCentre string
	Age        time.Duration
	Err        error
}

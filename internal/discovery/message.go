package discovery

import (
	"errors"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/catalog"
	"github.com/gypsumlug/gypsumlug/internal/evacuation"
	"github.com/gypsumlug/gypsumlug/internal/overload"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/ratelimit"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/storepos"
)

// FormatVersion is the version of the message format between hosts. Messages of
// another version are ignored.
const FormatVersion = 1

// Heartbeat announces a host and its state. It is sent in one datagram.
type Heartbeat struct {
	Format int `msgpack:"f"`
	// From is the sender's peer address, and Start distinguishes its incarnations.
	From  string `msgpack:"a"`
	Start uint64 `msgpack:"s"`
	// DataCentre is the sender's data centre.
	DataCentre string `msgpack:"c"`
	// CPUPercent is the sender's CPU capacity, in hundredths of a processor; zero if
	// unknown.
	CPUPercent int `msgpack:"p,omitempty"`
	// ReplyRequested asks the receiver for a heartbeat in return.
	ReplyRequested bool `msgpack:"k,omitempty"`
	// Leaving is set if the sender is stopping.
	Leaving bool `msgpack:"l"`
	// ReadsStore is set if the sender reads the store for the others.
	ReadsStore bool `msgpack:"e"`
	// Version is the version of the configuration in force at the sender.
	Version uint64 `msgpack:"v"`
	// Epoch, Revision and Digest identify the sender's state of the store, and Age is the
	// time since the store last confirmed it. Epoch is zero from a host of an earlier
	// version.
	Epoch    uint64        `msgpack:"ep,omitempty"`
	Revision uint64        `msgpack:"r"`
	Digest   uint64        `msgpack:"d"`
	Age      time.Duration `msgpack:"g"`
	// Holds is a digest of the replicas that the sender holds as leaving though the store
	// has them otherwise; zero if there are none.
	Holds uint64 `msgpack:"hd,omitempty"`
	// OutsideAge is the time since a heartbeat of another data centre came, to the sender
	// or to another host of its data centre; zero if none has, or from a host of an
	// earlier version.
	OutsideAge time.Duration `msgpack:"o,omitempty"`
	// Evacuations identifies the sender's set of evacuated data centres. It is nil from a
	// host that knows none, or of an earlier version.
	Evacuations *evacuation.Summary `msgpack:"u,omitempty"`
	// Members are some of the hosts that the sender knows.
	Members []Member `msgpack:"m"`
	// Presence tells when further hosts were heard last, in less space than Members, to
	// receivers that know these hosts. It is empty from a host of an earlier version.
	Presence []byte `msgpack:"h,omitempty"`
	// Departures are hosts that have announced lately that they leave.
	Departures []Departure `msgpack:"z,omitempty"`
	// Suspects are requests that are suspected of crashing replicas.
	Suspects []peerwire.SuspectHint `msgpack:"q,omitempty"`
	// RateLimits are rate limits that replicas named.
	RateLimits []ratelimit.Hint `msgpack:"t,omitempty"`
	// LeavingReplicas are replicas that said that they leave.
	LeavingReplicas []string `msgpack:"w,omitempty"`
	// Failures are outcomes of attempts at replicas that fail to answer.
	Failures []peerwire.FailureHint `msgpack:"x,omitempty"`
	// Overload tells which share of the queries of routes the replicas have capacity for.
	Overload []overload.Hint `msgpack:"ol,omitempty"`
}

// Departure is an incarnation of a host that has announced that it leaves.
type Departure struct {
	Address string `msgpack:"a"`
	Start   uint64 `msgpack:"s"`
}

// Member describes a host, to itself or to another host.
type Member struct {
	Address    string `msgpack:"a"`
	Start      uint64 `msgpack:"s"`
	DataCentre string `msgpack:"c"`
	// CPUPercent is the host's CPU capacity, in hundredths of a processor; zero if
	// unknown.
	CPUPercent int `msgpack:"p,omitempty"`
	// Age is the time since the host's latest known heartbeat.
	Age time.Duration `msgpack:"g"`
}

// StateRequest asks a host for its state of the store.
type StateRequest struct {
	Format int `msgpack:"f"`
	// Version is the version of the requesting host's configuration, and Epoch and
	// Revision the position of its replicas. A Revision of zero requests all replicas.
	Version  uint64 `msgpack:"v"`
	Epoch    uint64 `msgpack:"ep,omitempty"`
	Revision uint64 `msgpack:"r"`
	// AcrossEpochs is set by a host that knows State.AcrossEpochs.
	AcrossEpochs bool `msgpack:"ac,omitempty"`
	// News asks for the news as well.
	News bool `msgpack:"w,omitempty"`
}

// State is a host's state of the store.
type State struct {
	Format int `msgpack:"f"`
	// Epoch and Revision are the position of the replicas. Epoch is zero from a host of an
	// earlier version. EpochAge is the time since the epoch is known to have begun.
	Epoch    uint64        `msgpack:"ep,omitempty"`
	EpochAge time.Duration `msgpack:"ea,omitempty"`
	Revision uint64        `msgpack:"r"`
	// Digest is that of the replicas at Revision; zero from a host of an earlier version.
	Digest uint64        `msgpack:"d,omitempty"`
	Age    time.Duration `msgpack:"g"`
	// Config is nil if the requesting host has this version or a later one.
	Config *routing.Config `msgpack:"c"`
	// Since is the revision of the epoch after which Entries are the changes; zero if
	// Entries are all replicas.
	Since   uint64          `msgpack:"n"`
	Entries []catalog.Entry `msgpack:"e"`
	// Evacuations is the set of evacuated data centres; nil if the answering host knows
	// none, or is of an earlier version.
	Evacuations *evacuation.State `msgpack:"u,omitempty"`
	// AcrossEpochs is set if Since is a revision of SinceEpoch, an earlier epoch, and Entries
	// are all that differs from the replicas at that position.
	AcrossEpochs bool   `msgpack:"ac,omitempty"`
	SinceEpoch   uint64 `msgpack:"se,omitempty"`
	// Members are all hosts that the answering host knows. It is set if Revision of
	// the request is zero, for a new host.
	Members []Member `msgpack:"m,omitempty"`
	// News is set if the request asks for it. Informed means that the answering host has
	// not itself started just now, so that there is no need to ask another one.
	News     *News `msgpack:"w,omitempty"`
	Informed bool  `msgpack:"o,omitempty"`
}

// News is what a host has learned of requests and replicas, and the store doesn't have.
// Heartbeats tell it bit by bit; a host that starts gets all of it from one that runs.
type News struct {
	// Suspects are requests that are suspected of crashing replicas.
	Suspects []peerwire.SuspectHint `msgpack:"q,omitempty"`
	// RateLimits are rate limits that replicas named.
	RateLimits []ratelimit.Hint `msgpack:"t,omitempty"`
	// LeavingReplicas are replicas that said that they leave.
	LeavingReplicas []string `msgpack:"w,omitempty"`
}

func (h *Heartbeat) position() storepos.Position {
	return storepos.Position{Epoch: h.Epoch, Revision: h.Revision}
}

func (r *StateRequest) position() storepos.Position {
	return storepos.Position{Epoch: r.Epoch, Revision: r.Revision}
}

func (s *State) position() storepos.Position {
	return storepos.Position{Epoch: s.Epoch, Revision: s.Revision}
}

// ErrHistoryCompacted is returned when the store no longer has the changes after a
// revision.
var ErrHistoryCompacted = errors.New("store no longer has the changes after this revision")

// Errors of a store that appears to have gone back without a new epoch.
var (
	errOlderEpoch    = errors.New("store answered with an older epoch")
	errOlderRevision = errors.New("store answered with an older revision of the same epoch")
)

// StoreResponse is the store's answer to a read.
type StoreResponse struct {
	// Epoch and Revision are the position after which changes are to be read next.
	Epoch    uint64
	Revision uint64
	// Config is nil if there is no configuration, or no change of it.
	Config  *routing.Config
	Entries []catalog.Entry
	// Evacuations are the evacuated data centres, or the changes of them.
	Evacuations []evacuation.Entry
}

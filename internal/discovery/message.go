package discovery

import (
	"errors"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/catalog"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// FormatVersion is the format of the messages between hosts. Messages of another
// version are ignored.
const FormatVersion = 1

// Hello is the heartbeat of a host, in one datagram.
type Hello struct {
	Format int `msgpack:"f"`
	// From is the sender's peer address, and Start tells its incarnations apart.
	From  string `msgpack:"a"`
	Start uint64 `msgpack:"s"`
	// DataCentre is the sender's.
	DataCentre string `msgpack:"c"`
	// Processor is what the sender has of one, in hundredths; zero if it does not say.
	Processor int `msgpack:"p,omitempty"`
	// Ask asks for a heartbeat in return.
	Ask bool `msgpack:"k,omitempty"`
	// Leaving tells that the sender is stopping.
	Leaving bool `msgpack:"l"`
	// Reading tells that the sender reads the store for the others.
	Reading bool `msgpack:"e"`
	// Version is the configuration in force at the sender.
	Version uint64 `msgpack:"v"`
	// Revision and Digest say what the sender knows of the store, and Age how
	// long ago the store confirmed it.
	Revision uint64        `msgpack:"r"`
	Digest   uint64        `msgpack:"d"`
	Age      time.Duration `msgpack:"g"`
	// Members are some hosts that the sender knows.
	Members []Member `msgpack:"m"`
	// Suspects are requests that may crash replicas.
	Suspects []peerwire.SuspectHint `msgpack:"q,omitempty"`
}

// Member is a host as another one knows it.
type Member struct {
	Address    string `msgpack:"a"`
	Start      uint64 `msgpack:"s"`
	DataCentre string `msgpack:"c"`
	// Processor is what the host has of one, in hundredths.
	Processor int `msgpack:"p,omitempty"`
	// Age is the time since the host was heard.
	Age time.Duration `msgpack:"g"`
}

// StateRequest asks a host for what it knows.
type StateRequest struct {
	Format int `msgpack:"f"`
	// Version is the configuration that the asking host has, and Revision what it
	// knows of the replicas; zero asks for all of them.
	Version  uint64 `msgpack:"v"`
	Revision uint64 `msgpack:"r"`
}

// State is what a host knows of the store.
type State struct {
	Format   int           `msgpack:"f"`
	Revision uint64        `msgpack:"r"`
	Age      time.Duration `msgpack:"g"`
	// Config is nil if the asking host has it.
	Config *routing.Config `msgpack:"c"`
	// Since is the revision after which Entries are the changes; zero if they are
	// all replicas.
	Since   uint64          `msgpack:"n"`
	Entries []catalog.Entry `msgpack:"e"`
	// Members are all hosts that the answering one knows, for one that is new.
	Members []Member `msgpack:"m,omitempty"`
}

// ErrHistoryCompacted tells that the store no longer has the changes since a revision.
var ErrHistoryCompacted = errors.New("the store's history is gone")

// StoreResponse is an answer of the store.
type StoreResponse struct {
	// Revision is the one whose changes are to be read next.
	Revision uint64
	// Config is nil if there is none, or none that is new.
	Config  *routing.Config
	Entries []catalog.Entry
}

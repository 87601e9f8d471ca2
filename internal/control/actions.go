package control

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Actions are what the adapter carries out after an event. The order of the
// fields and of their elements has no meaning.
type Actions struct {
	// Heartbeats are sent to peers; a heartbeat that can't be sent is dropped.
	Heartbeats []Heartbeat
	// FetchManifests end in Manifest.
	FetchManifests []Source
	// Watches end in Manifest with the source {Watch: true}, and nil data if there
	// is no newer manifest.
	Watches []Watch
	// FetchDocuments end in Document.
	FetchDocuments []FetchDocument
	// View is the new view to publish, or nil.
	View *view.View
}

// Heartbeat is a message to a peer.
type Heartbeat struct {
	To      string
	Message peerwire.Heartbeat
}

// Source is where a value comes from. The zero value is the platform.
type Source struct {
	// Peer is the peer's address, or "" for the platform.
	Peer string
	// Watch marks the answer of a watch.
	Watch bool
}

// IsPlatform tells whether the source is the platform.
func (s Source) IsPlatform() bool { return s.Peer == "" }

// Watch waits on the platform for a revision above After.
type Watch struct {
	After config.Revision
	Wait  time.Duration
}

// FetchDocument asks a source for a document.
type FetchDocument struct {
	Source Source
	Hash   string
}

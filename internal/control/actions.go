package control

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Actions are what the adapter must do after an event. The order of the fields
// and of their elements has no meaning.
type Actions struct {
	// Heartbeats are sent to peers; a heartbeat that cannot be sent is dropped.
	Heartbeats []Heartbeat
	// FetchManifests lists the sources to fetch the manifest from.
	// HandleManifest takes the result of each fetch.
	FetchManifests []Source
	// Watches are the watches to start. HandleManifest takes the result of each
	// watch, with Source{Watch: true}, and with nil data if there is no newer
	// manifest.
	Watches []Watch
	// FetchDocuments are the documents to fetch. HandleDocument takes the result
	// of each fetch.
	FetchDocuments []FetchDocument
	// View is the new view to publish, or nil.
	View *view.View
}

// Heartbeat is a heartbeat message and the address of the peer to send it to.
type Heartbeat struct {
	To      string
	Message peerwire.Heartbeat
}

// Source tells where a manifest or document comes from. The zero value is the
// platform.
type Source struct {
	// Peer is the peer's address, or "" for the platform.
	Peer string
	// Watch marks the result of a watch.
	Watch bool
}

// IsPlatform reports whether the source is the platform.
func (s Source) IsPlatform() bool { return s.Peer == "" }

// Watch is a call to the platform that waits until it has a revision above
// After, for at most Wait.
type Watch struct {
	After config.Revision
	Wait  time.Duration
}

// FetchDocument asks a source for the document with a hash.
type FetchDocument struct {
	Source Source
	Hash   string
}

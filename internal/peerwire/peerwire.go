// Package peerwire defines the messages between hosts. Each is the msgpack
// payload of one frame; package peer frames and carries them.
//
// Messages carry durations and never points in time, since the clocks of two
// hosts are not compared. Fields are only ever added: a host ignores the fields
// that it does not know, so that adjacent versions work together.
package peerwire

import (
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Version is the frame version of this build; hosts accept Version and
// Version-1.
const Version = 1

// Kind tells the type of a frame's payload.
type Kind uint8

// The kinds of frames.
const (
	KindHeartbeat       Kind = 1
	KindManifestRequest Kind = 2
	KindManifest        Kind = 3
	KindDocumentRequest Kind = 4
	KindDocument        Kind = 5
	KindDispatch        Kind = 6
	KindReplies         Kind = 7
	KindCancel          Kind = 8
	KindSubmit          Kind = 9
	KindSubmitAnswer    Kind = 10
	KindHandover        Kind = 11
	KindHandoverAnswer  Kind = 12
	KindHello           Kind = 13
	KindPing            Kind = 14
	KindPong            Kind = 15
	KindGoodbye         Kind = 16
	KindRefusal         Kind = 17
)

var kindNames = map[Kind]string{
	KindHeartbeat:       "heartbeat",
	KindManifestRequest: "manifest-request",
	KindManifest:        "manifest",
	KindDocumentRequest: "document-request",
	KindDocument:        "document",
	KindDispatch:        "dispatch",
	KindReplies:         "replies",
	KindCancel:          "cancel",
	KindSubmit:          "submit",
	KindSubmitAnswer:    "submit-answer",
	KindHandover:        "handover",
	KindHandoverAnswer:  "handover-answer",
	KindHello:           "hello",
	KindPing:            "ping",
	KindPong:            "pong",
	KindGoodbye:         "goodbye",
	KindRefusal:         "refusal",
}

// Valid reports whether this version knows k.
func (k Kind) Valid() bool { return kindNames[k] != "" }

// String returns the name of k, which metrics use as a label.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown"
}

// Hello is the first frame in each direction of a connection. It is framed in
// Version-1, since the other side may be one version older; the frames that
// follow are framed in the lower Version of the two.
type Hello struct {
	// From is the sender's peer address, to which replies are sent.
	From    string `msgpack:"f"`
	Version uint8  `msgpack:"v"`
}

// Refusal answers a request frame that was not handled.
type Refusal struct {
	Code result.Code `msgpack:"c"`
}

// Heartbeat spreads a host's state and hints about others.
type Heartbeat struct {
	From       view.Incarnation `msgpack:"f"`
	DataCentre string           `msgpack:"d"`
	State      view.HostState   `msgpack:"s"`
	Revision   config.Revision  `msgpack:"r"`
	// ManifestHash is the hash of the manifest in force.
	ManifestHash string `msgpack:"h"`
	// Hosts are a bounded sample of the sender's roster.
	Hosts []HostHint `msgpack:"o"`
	// Leaving are endpoints seen draining, with the rest of the hint's life.
	Leaving []EndpointHint `msgpack:"l"`
	// Suspects are quarantine hints.
	Suspects []SuspectHint `msgpack:"q"`
	// Reply asks for a heartbeat in return.
	Reply bool `msgpack:"y"`
}

// HostHint is what the sender last heard of a host.
type HostHint struct {
	Incarnation view.Incarnation `msgpack:"i"`
	DataCentre  string           `msgpack:"d"`
	State       view.HostState   `msgpack:"s"`
	Revision    config.Revision  `msgpack:"r"`
	// Age is the time since the host itself was heard, over all hops.
	Age time.Duration `msgpack:"a"`
}

// EndpointHint tells that an endpoint is draining.
type EndpointHint struct {
	Endpoint string        `msgpack:"e"`
	TTL      time.Duration `msgpack:"t"`
}

// SuspectHint tells of a request that was in flight when endpoints crashed.
type SuspectHint struct {
	Fingerprint view.Fingerprint `msgpack:"f"`
	// Endpoints are those that crashed while they ran the request, at most two.
	Endpoints []string `msgpack:"e"`
	// Proven tells that the request crashed a second endpoint while it ran alone.
	Proven bool `msgpack:"p"`
	// Cleared tells that the request ran to its end after the crash.
	Cleared bool          `msgpack:"c"`
	TTL     time.Duration `msgpack:"t"`
}

// ManifestRequest asks for the manifest in force at the peer.
type ManifestRequest struct{}

// Manifest carries a manifest's bytes; Data is empty if the peer has none.
type Manifest struct {
	Data []byte `msgpack:"d"`
}

// DocumentRequest asks for a document by hash.
type DocumentRequest struct {
	Hash string `msgpack:"h"`
}

// Document carries a document's bytes; Data is empty if the peer has it not.
type Document struct {
	Hash string `msgpack:"h"`
	Data []byte `msgpack:"d"`
}

// Dispatch carries attempts to a relay.
type Dispatch struct {
	Requests []dispatch.Request `msgpack:"r"`
}

// Replies carries replies back to the coordinator.
type Replies struct {
	Replies []dispatch.Reply `msgpack:"r"`
}

// Cancel withdraws attempts.
type Cancel struct {
	Cancels []dispatch.Cancel `msgpack:"c"`
}

// Submit forwards a submit to the permit's issuer.
type Submit struct {
	Request api.SubmitRequest `msgpack:"r"`
	Budget  time.Duration     `msgpack:"b"`
}

// SubmitAnswer answers Submit.
type SubmitAnswer struct {
	Answer api.SubmitAnswer `msgpack:"a"`
}

// Handover gives the closed permits of a stopping host to a peer. The receiver
// answers repeated submits from it and never dispatches.
type Handover struct {
	Issuer  view.Incarnation `msgpack:"i"`
	Entries []ClosedPermit   `msgpack:"e"`
}

// ClosedPermit is the outcome of an ended permit.
type ClosedPermit struct {
	Sequence uint64 `msgpack:"s"`
	Nonce    uint64 `msgpack:"n"`
	Service  string `msgpack:"v"`
	// Submitted tells that BodyHash was set by a submit.
	Submitted bool        `msgpack:"u"`
	BodyHash  uint64      `msgpack:"b"`
	Code      result.Code `msgpack:"c"`
	Outcome   string      `msgpack:"o"`
	// OutcomeDropped tells that the outcome was too large to keep.
	OutcomeDropped bool          `msgpack:"d"`
	TTL            time.Duration `msgpack:"t"`
}

// HandoverAnswer tells how many entries the receiver keeps.
type HandoverAnswer struct {
	Kept int `msgpack:"k"`
}

// Package peerwire defines the messages that hosts exchange. Each message is the
// msgpack payload of one frame, which package peer encodes and transmits.
//
// Messages contain durations and no points in time, since the clocks of two hosts
// are not synchronized. Fields may be added but not removed: a host ignores unknown
// fields, so that adjacent versions interoperate.
package peerwire

import (
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Version is the frame version of this build. Hosts accept frames of Version and
// Version-1.
const Version = 1

// Kind identifies the message type of a frame's payload.
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

// Valid reports whether this build supports k.
func (k Kind) Valid() bool { return kindNames[k] != "" }

// String returns the name of k, which is also its label in metrics.
func (k Kind) String() string {
	if name, ok := kindNames[k]; ok {
		return name
	}
	return "unknown"
}

// Hello is the first frame in each direction of a connection. Its frame version is
// Version-1, since the other side may be one version older. Later frames have the
// lower of the two sides' versions.
type Hello struct {
	// From is the sender's peer address, to which replies are sent.
	From    string `msgpack:"f"`
	Version uint8  `msgpack:"v"`
}

// Refusal answers a request frame that was not handled.
type Refusal struct {
	Code result.Code `msgpack:"c"`
}

// Heartbeat announces the state of the sender, with hints about other hosts,
// endpoints and requests.
type Heartbeat struct {
	From       view.Incarnation `msgpack:"f"`
	DataCentre string           `msgpack:"d"`
	State      view.HostState   `msgpack:"s"`
	Revision   config.Revision  `msgpack:"r"`
	// ManifestHash is the hash of the manifest that the sender uses.
	ManifestHash string `msgpack:"h"`
	// Hosts is a sample of limited size of the hosts that the sender knows.
	Hosts []HostHint `msgpack:"o"`
	// Leaving lists endpoints that were seen draining.
	Leaving []EndpointHint `msgpack:"l"`
	// Suspects lists requests that may crash endpoints, for the quarantine.
	Suspects []SuspectHint `msgpack:"q"`
	// Reply requests a heartbeat in return.
	Reply bool `msgpack:"y"`
}

// HostHint describes a host by the last state that the sender knows of it.
type HostHint struct {
	Incarnation view.Incarnation `msgpack:"i"`
	DataCentre  string           `msgpack:"d"`
	State       view.HostState   `msgpack:"s"`
	Revision    config.Revision  `msgpack:"r"`
	// Age is the time since a host received a heartbeat from the described host itself.
	// Each host that passes the hint on adds the time for which it has held the hint.
	Age time.Duration `msgpack:"a"`
}

// EndpointHint tells that an endpoint is draining. TTL is the remaining time for which
// the hint is valid.
type EndpointHint struct {
	Endpoint string        `msgpack:"e"`
	TTL      time.Duration `msgpack:"t"`
}

// SuspectHint describes a request that was running when an endpoint crashed. TTL is the
// remaining time for which the hint is valid.
type SuspectHint struct {
	Fingerprint view.Fingerprint `msgpack:"f"`
	// Endpoints lists the endpoints that crashed while they ran the request, at most
	// two.
	Endpoints []string `msgpack:"e"`
	// Proven is true if the request crashed a second endpoint while no other request
	// ran there.
	Proven bool `msgpack:"p"`
	// Cleared is true if the request completed after the crash.
	Cleared bool          `msgpack:"c"`
	TTL     time.Duration `msgpack:"t"`
}

// ManifestRequest requests the manifest that the peer uses.
type ManifestRequest struct{}

// Manifest answers ManifestRequest. Data is empty if the peer has no manifest.
type Manifest struct {
	Data []byte `msgpack:"d"`
}

// DocumentRequest requests a document by its hash.
type DocumentRequest struct {
	Hash string `msgpack:"h"`
}

// Document answers DocumentRequest. Data is empty if the peer does not have the
// document.
type Document struct {
	Hash string `msgpack:"h"`
	Data []byte `msgpack:"d"`
}

// Dispatch sends attempts to a relay.
type Dispatch struct {
	Requests []dispatch.Request `msgpack:"r"`
}

// Replies returns the replies to attempts to the coordinator.
type Replies struct {
	Replies []dispatch.Reply `msgpack:"r"`
}

// Cancel cancels attempts at a relay.
type Cancel struct {
	Cancels []dispatch.Cancel `msgpack:"c"`
}

// Submit forwards a submit request to the host that issued its permit.
type Submit struct {
	Request api.SubmitRequest `msgpack:"r"`
	Budget  time.Duration     `msgpack:"b"`
}

// SubmitAnswer answers Submit.
type SubmitAnswer struct {
	Answer api.SubmitAnswer `msgpack:"a"`
}

// Handover transfers the closed permits of a stopping host to a peer. The receiver
// answers repeated submits of these permits with the stored outcome and does not
// dispatch them.
type Handover struct {
	Issuer  view.Incarnation `msgpack:"i"`
	Entries []ClosedPermit   `msgpack:"e"`
}

// ClosedPermit is a permit that is no longer open, with its outcome. TTL is the
// remaining time for which the outcome is kept.
type ClosedPermit struct {
	Sequence uint64 `msgpack:"s"`
	Nonce    uint64 `msgpack:"n"`
	Service  string `msgpack:"v"`
	// Submitted is true if the permit was submitted; BodyHash is set only then.
	Submitted bool        `msgpack:"u"`
	BodyHash  uint64      `msgpack:"b"`
	Code      result.Code `msgpack:"c"`
	Outcome   string      `msgpack:"o"`
	// OutcomeDropped is true if the outcome was too large to keep.
	OutcomeDropped bool          `msgpack:"d"`
	TTL            time.Duration `msgpack:"t"`
}

// HandoverAnswer answers Handover with the number of entries that the receiver keeps.
type HandoverAnswer struct {
	Kept int `msgpack:"k"`
}

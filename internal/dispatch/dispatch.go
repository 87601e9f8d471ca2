// Package dispatch defines the messages between the coordinator, the relay and
// the endpoint adapter: an attempt at one shard, its cancellation, and its reply.
package dispatch

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Operation is what an endpoint is asked to do.
type Operation uint8

// The operations.
const (
	// Search reads one shard and may be repeated.
	Search Operation = iota
	// Submit runs a request that must not be repeated.
	Submit
)

// Key identifies one attempt across all hosts.
type Key struct {
	// Request is unique over all hosts and incarnations.
	Request string `msgpack:"q"`
	// Attempt is the number of the attempt within its request, counted from 1.
	Attempt uint32 `msgpack:"a"`
}

// Request is one attempt, addressed to one endpoint.
type Request struct {
	Key
	Operation Operation      `msgpack:"o"`
	Service   string         `msgpack:"v"`
	Endpoint  string         `msgpack:"e"`
	Snapshot  uint64         `msgpack:"n"`
	Range     keyrange.Range `msgpack:"r"`
	// Body is the query text or the submitted request.
	Body string `msgpack:"b"`
	// Limit bounds the hits of the reply.
	Limit   int            `msgpack:"l"`
	Urgency config.Urgency `msgpack:"u"`
	// Budget is the time left until the deadline when the message was created.
	// Each hop subtracts the time it took.
	Budget time.Duration `msgpack:"t"`
	// Suspect marks a request that was in flight when an endpoint crashed. It
	// must run alone on its endpoint.
	Suspect bool `msgpack:"s"`
	// VerifyConnection requires a connection that was verified to be alive just
	// before the request is written.
	VerifyConnection bool `msgpack:"f"`
	// Message is a caller's HTTP request that is forwarded unchanged instead of
	// Body. It is not sent to other hosts as part of a Request.
	Message *Message `msgpack:"-"`
	// Departed reports whether the caller has disconnected. It is asked right before
	// the request is written, which is refused then with result.CallerGone. It may be
	// nil, and is not sent to other hosts.
	Departed func() bool `msgpack:"-"`
	// Barred returns the code to refuse the request with right before it is written,
	// because of what the endpoint has said since it was chosen, or zero. It may be nil,
	// and is not sent to other hosts.
	Barred func() result.Code `msgpack:"-"`
	// Purpose says why the request is sent. It is not sent to other hosts.
	Purpose Purpose `msgpack:"-"`
}

// Purpose says why an attempt is sent.
type Purpose uint8

// The purposes of attempts.
const (
	// PurposePrimary is that of the first attempt at a shard.
	PurposePrimary Purpose = iota
	// PurposeRetry is that of an attempt after one that ended without a good reply.
	PurposeRetry
	// PurposeHedge is that of an attempt beside one that is still open.
	PurposeHedge
)

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Message is a caller's HTTP request. All its attempts share it, so it must not be
// changed. As a part of split.Request it is sent to other hosts, encoded under its
// field names.
type Message struct {
	// ID is the request ID chosen by the caller, which endpoints echo.
	ID string
	// Caller is the address of the caller without the port.
	Caller string
	Method string
	// Host and Target are the authority and the request target as received.
	Host   string
	Target string
	// Header holds the header fields to forward.
	Header []Field
	Body   []byte
	// Once means that the request must run at most once.
	Once bool
}

// Response is the complete HTTP response of an endpoint.
type Response struct {
	Status int
	// Stamp is the endpoint's signature of the response, empty if it has none.
	Stamp  string
	Header []Field
	Body   []byte
}

// Outcome is what is known about the execution of an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OK means that the attempt ran and succeeded.
	OK Outcome = iota + 1
	// Refused means that the attempt provably never started.
	Refused
	// Failed means that the attempt ran and failed.
	Failed
	// Unknown means that bytes were written to the endpoint, but it is not known
	// whether the attempt ran.
	Unknown
)

// Hit is one document of a reply.
type Hit struct {
	Document string       `json:"document" msgpack:"d"`
	Key      keyrange.Key `json:"key" msgpack:"k"`
	Score    float64      `json:"score" msgpack:"s"`
	Body     string       `json:"body,omitempty" msgpack:"b"`
}

// Load is the load reported by the endpoint. It may be outdated or wrong.
type Load struct {
	InFlight int  `json:"in_flight" msgpack:"i"`
	Slots    int  `json:"slots" msgpack:"s"`
	Leaving  bool `json:"leaving" msgpack:"l"`
	// Waiting is the number of requests that wait for a slot, and Slowness how long work
	// takes at the endpoint now, in hundredths of the usual time. They are zero if the
	// endpoint does not report them.
	Waiting  int `json:"waiting,omitempty" msgpack:"w,omitempty"`
	Slowness int `json:"slowness,omitempty" msgpack:"x,omitempty"`
}

// Reply ends an attempt. Each attempt gets exactly one.
type Reply struct {
	Key
	Endpoint string  `msgpack:"e"`
	Outcome  Outcome `msgpack:"o"`
	// Code gives the reason when Outcome is not OK.
	Code     result.Code    `msgpack:"c"`
	Snapshot uint64         `msgpack:"n"`
	Range    keyrange.Range `msgpack:"r"`
	Hits     []Hit          `msgpack:"h"`
	// Truncated means that the endpoint had more hits than the limit.
	Truncated bool `msgpack:"m"`
	// Body is the result of a submit.
	Body string `msgpack:"b"`
	// ServiceTime is how long the endpoint took, without the time in queues of hosts.
	ServiceTime time.Duration `msgpack:"t"`
	Load        *Load         `msgpack:"l"`
	// Response is the response to a forwarded message.
	Response *Response `msgpack:"-"`
	// Charge is the memory that Response is charged, or nil. Whoever gets the reply
	// releases it once the response was passed on or dropped.
	Charge Charge `msgpack:"-"`
	// RateLimit is set if the endpoint itself answered a forwarded message.
	RateLimit *RateLimit `msgpack:"-"`
	// Pause is how long the endpoint, which refused a forwarded message, wants no other
	// from this host; zero if it did not say.
	Pause time.Duration `msgpack:"-"`
	// Cold is for how long the endpoint says that it is cold; zero if it is not, or does
	// not say.
	Cold time.Duration `msgpack:"-"`
}

// Charge is memory that a response is charged until it is released.
type Charge interface {
	// Release returns the memory. Further calls have no effect.
	Release()
}

// ReleaseCharge releases the memory of the response.
func (r *Reply) ReleaseCharge() {
	if r.Charge != nil {
		r.Charge.Release()
		r.Charge = nil
	}
}

// RateLimit is what an endpoint's answer says about the requests that it accepts.
type RateLimit struct {
	// PerSecond is the number of requests a second that the endpoint accepts from all
	// hosts together, or zero if the answer names no limit.
	PerSecond float64
}

// Cancel withdraws an attempt. The attempt still gets a reply.
type Cancel struct {
	Key
	Endpoint string `msgpack:"e"`
}

// RefusedReply returns the reply to r with the outcome Refused.
func (r *Request) RefusedReply(code result.Code) Reply {
	return r.newReply(Refused, code)
}

// UnknownReply returns the reply to r with the outcome Unknown.
func (r *Request) UnknownReply(code result.Code) Reply {
	return r.newReply(Unknown, code)
}

func (r *Request) newReply(o Outcome, code result.Code) Reply {
	return Reply{Key: r.Key, Endpoint: r.Endpoint, Outcome: o, Code: code, Snapshot: r.Snapshot, Range: r.Range}
}

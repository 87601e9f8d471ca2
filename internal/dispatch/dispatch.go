// Package dispatch defines the messages between coordinator, relay and
// endpoint adapter: one attempt at one shard, its cancellation, and its reply.
package dispatch

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Operation tells what an endpoint is asked to do.
type Operation uint8

// The operations.
const (
	// Search reads one shard and may be repeated.
	Search Operation = iota
	// Submit runs a non-repeatable request.
	Submit
)

// Key identifies one attempt across all hosts.
type Key struct {
	// Request is unique over all hosts and incarnations.
	Request string `msgpack:"q"`
	// Attempt numbers the attempts of a request from 1.
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
	// Budget is the time left when the message was made. Each hop subtracts
	// what it used.
	Budget time.Duration `msgpack:"t"`
	// Suspect marks a request that was in flight when an endpoint crashed. It
	// runs alone on its endpoint.
	Suspect bool `msgpack:"s"`
	// VerifyConnection requires a connection that was proved alive just before.
	VerifyConnection bool `msgpack:"f"`
	// Message is a caller's HTTP request that is forwarded as it came, instead
	// of Body. It never leaves the host.
	Message *Message `msgpack:"-"`
}

// Field is one header field.
type Field struct {
	Name  string
	Value string
}

// Message is a caller's HTTP request. It is shared by all attempts at it and
// immutable.
type Message struct {
	// ID is the caller's ID of the request, which endpoints echo.
	ID string
	// Caller is the address of the caller, without its port.
	Caller string
	Method string
	// Host and Target are the authority and the request target as they came.
	Host   string
	Target string
	// Header holds the fields that are forwarded.
	Header []Field
	Body   []byte
	// Once tells that the request runs at most once.
	Once bool
}

// Response is an endpoint's whole HTTP response.
type Response struct {
	Status int
	// Stamp is the endpoint's signature of the response; empty without one.
	Stamp  string
	Header []Field
	Body   []byte
}

// Outcome tells what is known about an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// OK means that the attempt ran and succeeded.
	OK Outcome = iota + 1
	// Refused means that the attempt provably never started.
	Refused
	// Failed means that the attempt ran and failed.
	Failed
	// Unknown means that bytes were written and no outcome is known.
	Unknown
)

// Hit is one document of a reply.
type Hit struct {
	Document string       `json:"document" msgpack:"d"`
	Key      keyrange.Key `json:"key" msgpack:"k"`
	Score    float64      `json:"score" msgpack:"s"`
	Body     string       `json:"body,omitempty" msgpack:"b"`
}

// Load is the endpoint's own report, which may lag or mislead.
type Load struct {
	InFlight int  `json:"in_flight" msgpack:"i"`
	Slots    int  `json:"slots" msgpack:"s"`
	Leaving  bool `json:"leaving" msgpack:"l"`
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
	// Truncated tells that the endpoint had more hits than the limit.
	Truncated bool `msgpack:"m"`
	// Body is the result of a submit.
	Body string `msgpack:"b"`
	// ServiceTime is how long the endpoint took, without queueing on hosts.
	ServiceTime time.Duration `msgpack:"t"`
	Load        *Load         `msgpack:"l"`
	// Response is the response to a forwarded message.
	Response *Response `msgpack:"-"`
}

// Cancel withdraws an attempt. The attempt still gets a reply.
type Cancel struct {
	Key
	Endpoint string `msgpack:"e"`
}

// RefusedReply returns the reply to r that says it never started.
func (r *Request) RefusedReply(code result.Code) Reply {
	return r.reply(Refused, code)
}

// UnknownReply returns the reply to r that says its outcome is unknown.
func (r *Request) UnknownReply(code result.Code) Reply {
	return r.reply(Unknown, code)
}

func (r *Request) reply(o Outcome, code result.Code) Reply {
	return Reply{Key: r.Key, Endpoint: r.Endpoint, Outcome: o, Code: code, Snapshot: r.Snapshot, Range: r.Range}
}

// Package peer carries the messages of package peerwire between hosts over TCP. Package
// daemon uses it; entry hosts use package peerlink instead.
//
// A [Client] keeps one connection to each peer that it sends to, and a [Server]
// accepts connections from peers. Each connection carries one-way messages and
// requests in one direction and answers in the other. Both sides start with a
// hello frame, which gives the sender's peer address and protocol version.
//
// The client reports for every message whether it may have been delivered. An error
// for which [Undelivered] is true means that no byte of the frame was written to
// the socket, or that the peer refused the frame without handling it. After any
// other error the outcome of the message is unknown.
package peer

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumlug/gypsumlug/internal/callerconn"
	"github.com/gypsumlug/gypsumlug/internal/defaults"
	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Config configures a client or server. A duration or limit that is zero takes its
// default.
type Config struct {
	// Self is the peer address (IP and port) of this host.
	Self string
	// Metrics receives the counters. Client and server may share it.
	Metrics *metrics.Set
	// Guard bounds the connections that the server accepts; nil means no bounds.
	Guard *callerconn.Guard
	// Dial opens a connection to a peer address. The default is TCP.
	Dial dial.Func
	// DialTimeout limits the time to open a connection and exchange hellos.
	DialTimeout time.Duration
	// RedialDelay is the delay between a failed dial and the next one. Meanwhile
	// messages to the peer are refused.
	RedialDelay time.Duration
	// WriteTimeout limits one write to a connection.
	WriteTimeout time.Duration
	// PingInterval is the interval at which the client checks a connection. It pings
	// the peer if a request or a ping is unanswered, or if a message was written
	// since the last check, and otherwise only in every idlePingTicks-th interval.
	PingInterval time.Duration
	// SilenceTimeout is the time after which the client replaces a connection on
	// which nothing has arrived since a ping. The server closes a connection on which
	// nothing has arrived for serverSilenceFactor times as long.
	SilenceTimeout time.Duration
	// ProbeTimeout limits a probe, which the client sends before a submit and before
	// a message with ProbeFirst.
	ProbeTimeout time.Duration
	// IdleTimeout is the time after which the client closes an unused connection.
	IdleTimeout time.Duration
	// QueueLength limits the messages that are queued for one peer.
	QueueLength int
	// CallLimit limits the requests of one connection that the server handles
	// concurrently. It refuses further requests without handling them.
	CallLimit int
}

const (
	defaultDialTimeout    = 500 * time.Millisecond
	defaultRedialDelay    = 100 * time.Millisecond
	defaultWriteTimeout   = time.Second
	defaultPingInterval   = 500 * time.Millisecond
	defaultSilenceTimeout = 2 * time.Second
	defaultProbeTimeout   = 500 * time.Millisecond
	defaultIdleTimeout    = time.Minute
	defaultQueueLength    = 1024
	defaultCallLimit      = 256

	serverSilenceFactor = 5
	idlePingTicks       = 10
)

func (c Config) withDefaults() Config {
	defaults.Set(&c.DialTimeout, defaultDialTimeout)
	defaults.Set(&c.RedialDelay, defaultRedialDelay)
	defaults.Set(&c.WriteTimeout, defaultWriteTimeout)
	defaults.Set(&c.PingInterval, defaultPingInterval)
	defaults.Set(&c.SilenceTimeout, defaultSilenceTimeout)
	defaults.Set(&c.ProbeTimeout, defaultProbeTimeout)
	defaults.Set(&c.IdleTimeout, defaultIdleTimeout)
	defaults.Set(&c.QueueLength, defaultQueueLength)
	defaults.Set(&c.CallLimit, defaultCallLimit)
	if c.Dial == nil {
		c.Dial = dial.TCP
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return c
}

// Handler handles the messages that peers send; from is the sender's peer address.
// The methods without a context handle one-way messages: they are called in the
// order in which the messages arrive on a connection, and must not block. The
// others handle requests and are called concurrently.
type Handler interface {
	Heartbeat(from string, m peerwire.Heartbeat)
	Dispatch(from string, m peerwire.Dispatch)
	Replies(from string, m peerwire.Replies)
	Cancel(from string, m peerwire.Cancel)
	// ConnectionLost is called when messages may have been lost with the last
	// connection from a peer, and before any message that comes over a new one.
	ConnectionLost(from string)
	Manifest(ctx context.Context, from string) peerwire.Manifest
	Document(ctx context.Context, from string, m peerwire.DocumentRequest) peerwire.Document
	Submit(ctx context.Context, from string, m peerwire.Submit) peerwire.SubmitAnswer
	Handover(ctx context.Context, from string, m peerwire.Handover) peerwire.HandoverAnswer
}

// Undelivered reports whether err guarantees that the peer has not handled the
// message and will not handle it.
func Undelivered(err error) bool {
	var e *result.Error
	if !errors.As(err, &e) {
		return false
	}
	switch e.Code {
	case result.FrameInvalid, result.FrameTooLarge, result.FrameVersion:
		return true
	default:
		return e.Code.Class() == result.ClassNotRun
	}
}

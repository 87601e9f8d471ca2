// Package peer carries the messages of package peerwire between hosts over TCP.
//
// A [Client] keeps one connection to each peer that it sends to and a [Server]
// accepts those of others; each connection carries one-way messages and
// requests in one direction and answers in the other. Both open with a hello,
// so that the receiver knows the sender's peer address and both know the
// version to speak.
//
// For every message the client tells whether it may have been delivered. An
// error for which [Undelivered] is true means that no byte of the frame was
// handed to the socket, or that the peer refused the frame without handling
// it; any other error means that the outcome is unknown.
package peer

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gypsumlug/gypsumlug/internal/defaults"
	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Config holds what client and server share. The zero value of a duration or
// bound stands for its default.
type Config struct {
	// Self is this host's peer address, IP and port.
	Self string
	// Metrics receives the counters. It may be shared between client and server.
	Metrics *metrics.Set
	// Dial opens a connection to a peer address; nil means TCP.
	Dial dial.Func
	// DialTimeout bounds opening a connection, with its hello.
	DialTimeout time.Duration
	// RedialDelay is how long messages are refused after a failed dial without
	// trying again.
	RedialDelay time.Duration
	// WriteTimeout bounds one write to a connection.
	WriteTimeout time.Duration
	// PingInterval is how often the client pings a connection on which something
	// was written since the last frame arrived. An idle connection is pinged
	// once in idlePingTicks intervals.
	PingInterval time.Duration
	// SilenceTimeout is how long nothing may arrive on a probed connection until
	// the client replaces it. The server closes a connection that is silent
	// for serverSilenceFactor times as long.
	SilenceTimeout time.Duration
	// ProbeTimeout is how long a connection may take to prove that it is alive
	// before a message that asks for it.
	ProbeTimeout time.Duration
	// IdleTimeout is how long the client keeps an unused connection.
	IdleTimeout time.Duration
	// QueueLength bounds the messages that wait for one peer.
	QueueLength int
	// CallLimit bounds the requests that a server handles at once for one
	// connection. It refuses others without handling them.
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

// Handler receives what peers send. From is the sender's peer address. Methods
// without a context are called in the order of arrival on a connection and must
// not block; the others run concurrently.
type Handler interface {
	Heartbeat(from string, m peerwire.Heartbeat)
	Dispatch(from string, m peerwire.Dispatch)
	Replies(from string, m peerwire.Replies)
	Cancel(from string, m peerwire.Cancel)
	Manifest(ctx context.Context, from string) peerwire.Manifest
	Document(ctx context.Context, from string, m peerwire.DocumentRequest) peerwire.Document
	Submit(ctx context.Context, from string, m peerwire.Submit) peerwire.SubmitAnswer
	Handover(ctx context.Context, from string, m peerwire.Handover) peerwire.HandoverAnswer
}

// Undelivered reports whether err proves that the peer did not and will not
// handle the message.
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

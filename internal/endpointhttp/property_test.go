package endpointhttp

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

// faults are the first words of request bodies, which tell the endpoint how to
// reply.
var faults = []string{"ok", "ok", "ok", "slow", "close", "reset", "truncated", "garbage", "wrong-id", "silent", "refuse", "reply-and-close"}

// replyWithFault replies in the way that the first word of the request body names.
func replyWithFault(x *exchange) bool {
	if x.isProbe() {
		return x.replyStatus()
	}
	fault, _, _ := strings.Cut(x.request.Body, " ")
	switch fault {
	case "close", "reset":
		return false
	case "truncated":
		x.writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{")
		return false
	case "garbage":
		return x.writeRaw("garbage\r\n\r\n")
	case "wrong-id":
		return x.reply(endpointapi.StatusDone, endpointapi.Reply{ID: "other"})
	case "silent":
		return true
	case "refuse":
		return x.reply(endpointapi.StatusRefused, endpointapi.Reply{Code: result.EndpointCold})
	case "slow":
		time.Sleep(5 * time.Millisecond)
	}
	return x.replyOK() && fault != "reply-and-close"
}

// clientModel drives a client with one target whose address changes between two
// fake endpoints, and records the attempts.
type clientModel struct {
	client    *Client
	dialer    *countingDialer
	endpoints [2]*fakeEndpoint
	// minLimit and maxLimit bound the values that Target.Max is set to.
	minLimit, maxLimit int

	attempts []*attempt
	// currentEndpoint is the index in endpoints of the target's address.
	currentEndpoint int
}

func newClientModel(t *rapid.T) *clientModel {
	m := &clientModel{dialer: newCountingDialer()}
	m.maxLimit = rapid.IntRange(1, 4).Draw(t, "maxLimit")
	m.minLimit = rapid.IntRange(1, m.maxLimit).Draw(t, "minLimit")
	m.endpoints = [2]*fakeEndpoint{newFakeEndpoint(replyWithFault), newFakeEndpoint(replyWithFault)}
	m.client = New(Options{
		Dial: m.dialer.dial, ProbeInterval: 3 * time.Millisecond, ProbeTimeout: 20 * time.Millisecond, CancelGrace: 10 * time.Millisecond,
		VerificationTTL: time.Millisecond,
	})
	m.setTarget(0, 1, m.maxLimit)
	return m
}

func (m *clientModel) setTarget(endpoint, warm, limit int) {
	m.currentEndpoint = endpoint
	m.client.SetTarget(Target{Endpoint: "e", Address: m.endpoints[endpoint].address(), Warm: warm, Max: limit})
}

func (m *clientModel) send(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "attempts") {
		fault := rapid.SampledFrom(faults).Draw(t, "fault")
		op := rapid.SampledFrom([]dispatch.Operation{dispatch.Search, dispatch.Submit}).Draw(t, "operation")
		budget := time.Duration(rapid.IntRange(0, 40).Draw(t, "budget")) * time.Millisecond
		a := newAttempt(fmt.Sprintf("%s %d", fault, len(m.attempts)), op, budget)
		a.req.VerifyConnection = op == dispatch.Submit
		m.attempts = append(m.attempts, a.sendTo(m.client))
	}
}

// actions returns the actions of the model. "send" and "more" are the same, so that
// sending is drawn twice as often as any other action.
func (m *clientModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"send": m.send,
		"more": m.send,
		"cancel": func(t *rapid.T) {
			if len(m.attempts) > 0 {
				rapid.SampledFrom(m.attempts).Draw(t, "attempt").cancel(m.client)
			}
		},
		"target": func(t *rapid.T) {
			endpoint := rapid.IntRange(0, 1).Draw(t, "endpoint")
			m.setTarget(endpoint, rapid.IntRange(0, 2).Draw(t, "warm"), rapid.IntRange(m.minLimit, m.maxLimit).Draw(t, "max"))
		},
		"remove": func(*rapid.T) { m.client.RemoveTarget("e") },
		"close":  func(*rapid.T) { m.endpoints[m.currentEndpoint].closeConnections() },
		"wait": func(*rapid.T) {
			if len(m.attempts) > 0 {
				last := m.attempts[len(m.attempts)-1]
				Eventually(last.replyCount, waitTimeout, time.Millisecond).Should(Equal(1))
			}
		},
	}
}

// check compares the replies to the attempts with the requests that the endpoints
// received, and verifies the bounds on connections.
func (m *clientModel) check(t *rapid.T) {
	for _, a := range m.attempts {
		Eventually(a.replyCount, waitTimeout, time.Millisecond).Should(Equal(1))
	}
	m.client.Close()
	for _, e := range m.endpoints {
		e.close()
		if got := m.dialer.peakOpen(e.address()); got > m.maxLimit {
			t.Fatalf("%d connections were open, want at most %d", got, m.maxLimit)
		}
		if got := m.dialer.openNow(e.address()); got != 0 {
			t.Fatalf("%d connections are open after Close", got)
		}
	}
	for _, a := range m.attempts {
		m.checkAttempt(t, a)
	}
}

func (m *clientModel) checkAttempt(t *rapid.T, a *attempt) {
	reply := a.reply()
	runCount := m.endpoints[0].runCount(a.id()) + m.endpoints[1].runCount(a.id())
	fault, _, _ := strings.Cut(a.req.Body, " ")
	refusedByEndpoint := reply.Code == result.EndpointCold
	switch {
	case runCount > 1:
		t.Fatalf("%s was written %d times", a.id(), runCount)
	case reply.Outcome == dispatch.Refused && runCount != 0 && !refusedByEndpoint:
		t.Fatalf("%s was refused with code %v but had been written", a.id(), reply.Code)
	case refusedByEndpoint && fault != "refuse":
		t.Fatalf("%s was refused with code %v, which the endpoint did not send", a.id(), reply.Code)
	case reply.Outcome == dispatch.OK && (runCount == 0 || (fault != "ok" && fault != "slow" && fault != "reply-and-close")):
		t.Fatalf("%s was reported as successful without a complete reply", a.id())
	}
}

// TestClientModel runs random sequences of attempts, cancellations, target changes
// and endpoint faults. No attempt may be written twice or succeed without a complete
// reply. None may be reported as refused after it was written, unless the endpoint
// refused it. The maximum number of connections must not be exceeded.
func TestClientModel(t *testing.T) {
	testsuite.CheckN(t, 40, func(t *rapid.T) {
		RegisterTestingT(t)
		m := newClientModel(t)
		t.Repeat(m.actions())
		m.check(t)
	})
}

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

// The faults that the body of a request asks for.
var faults = []string{"ok", "ok", "ok", "slow", "close", "reset", "half", "garbage", "other", "silent", "refuse", "bye"}

// serveFault does what the body of the request asks for.
func serveFault(x *exchange) bool {
	if x.isProbe() {
		return x.replyStatus()
	}
	fault, _, _ := strings.Cut(x.request.Body, " ")
	switch fault {
	case "close", "reset":
		return false
	case "half":
		x.writeRaw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{")
		return false
	case "garbage":
		return x.writeRaw("garbage\r\n\r\n")
	case "other":
		return x.reply(endpointapi.StatusDone, endpointapi.Reply{ID: "other"})
	case "silent":
		return true
	case "refuse":
		return x.reply(endpointapi.StatusRefused, endpointapi.Reply{Code: result.EndpointCold})
	case "slow":
		time.Sleep(5 * time.Millisecond)
	}
	return x.replyOK() && fault != "bye"
}

// clientModel sends to one endpoint that moves between two addresses.
type clientModel struct {
	client    *Client
	dialer    *countingDialer
	endpoints [2]*fakeEndpoint
	// minLimit and highest bound the maximum that is set.
	minLimit, maxLimit int

	attempts        []*attempt
	currentEndpoint int
}

func newClientModel(t *rapid.T) *clientModel {
	m := &clientModel{dialer: newCountingDialer()}
	m.maxLimit = rapid.IntRange(1, 4).Draw(t, "highest")
	m.minLimit = rapid.IntRange(1, m.maxLimit).Draw(t, "lowest")
	m.endpoints = [2]*fakeEndpoint{newFakeEndpoint(serveFault), newFakeEndpoint(serveFault)}
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
		"cut":    func(*rapid.T) { m.endpoints[m.currentEndpoint].cutConnections() },
		"wait": func(*rapid.T) {
			if len(m.attempts) > 0 {
				last := m.attempts[len(m.attempts)-1]
				Eventually(last.replyCount, waitTimeout, time.Millisecond).Should(Equal(1))
			}
		},
	}
}

// check compares what the callers were told with what the endpoints saw.
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
		t.Fatalf("%s was told %v and was written", a.id(), reply.Code)
	case refusedByEndpoint && fault != "refuse":
		t.Fatalf("%s was told %v, which the endpoint did not say", a.id(), reply.Code)
	case reply.Outcome == dispatch.OK && (runCount == 0 || (fault != "ok" && fault != "slow" && fault != "bye")):
		t.Fatalf("%s was told that it succeeded", a.id())
	}
}

func TestClientModel(t *testing.T) {
	testsuite.CheckN(t, 40, func(t *rapid.T) {
		RegisterTestingT(t)
		m := newClientModel(t)
		t.Repeat(m.actions())
		m.check(t)
	})
}

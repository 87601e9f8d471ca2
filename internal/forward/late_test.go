package forward_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/forward"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// lateConnections sends two attempts, one after the other, over one connection at
// a time to a replica that replies to the first one after a time, and returns how
// many connections that took.
func lateConnections(t *testing.T, budget, after time.Duration) int32 {
	var o opened
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		open := func(context.Context, string) (net.Conn, error) {
			here, there := net.Pipe()
			go serve(there, func(w net.Conn, id string, _ int) {
				if id == "a" {
					time.Sleep(after)
				}
				respond(w, id, "x")
			})
			return here, nil
		}
		c := forward.New(plain{}, open, &o)
		c.SetTargets([]forward.Target{{Key: "r", Address: "replica", MaxConnections: 1, KeepIdle: true}})
		began := time.Now()
		g.Expect(send(c, request("a", budget)).Outcome).To(Equal(dispatch.Unknown))
		g.Expect(time.Since(began)).To(Equal(budget), "the attempt ends when its time is up")
		g.Expect(send(c, request("b", 5*time.Second)).Outcome).To(Equal(dispatch.OK))
		c.SetTargets(nil)
		time.Sleep(time.Minute)
	})
	return o.n.Load()
}

// A replica that replies just after the attempt's time, as one does that gives it
// up then, keeps its connection: a new one would take its time from other
// requests.
func TestLateReplyKeepsConnection(t *testing.T) {
	NewWithT(t).Expect(lateConnections(t, 40*time.Millisecond, 45*time.Millisecond)).To(BeEquivalentTo(1))
}

// The connection of a replica that stays silent is replaced.
func TestSilentConnectionIsReplaced(t *testing.T) {
	NewWithT(t).Expect(lateConnections(t, 40*time.Millisecond, 4*time.Second)).To(BeEquivalentTo(2))
}

// A replica that ends a connection with an attempt, and whose port is closed then,
// went away while it ran the attempt. One that accepts another connection lost that
// one alone, and of one that does not answer nothing is known.
func TestCrashIsTold(t *testing.T) {
	for name, tc := range map[string]struct {
		next error
		code result.Code
	}{
		"its port is closed":            {syscall.ECONNREFUSED, result.EndpointCrashed},
		"it accepts another connection": {nil, result.OutcomeUnknown},
		"it does not answer":            {context.DeadlineExceeded, result.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var opened opened
				first := true
				open := func(context.Context, string) (net.Conn, error) {
					if !first && tc.next != nil {
						return nil, tc.next
					}
					here, there := net.Pipe()
					ends := first
					first = false
					go serve(there, func(w net.Conn, id string, _ int) {
						if ends {
							_ = w.Close()
							return
						}
						respond(w, id, "x")
					})
					return here, nil
				}
				c := forward.New(plain{}, open, &opened)
				c.SetTargets([]forward.Target{{Key: "r", Address: "replica", MaxConnections: 1, KeepIdle: true}})
				reply := send(c, request("a", time.Second))
				g.Expect(reply.Outcome).To(Equal(dispatch.Unknown))
				g.Expect(reply.Code).To(Equal(tc.code))
				if tc.next == nil {
					g.Expect(send(c, request("b", time.Second)).Outcome).To(Equal(dispatch.OK))
					g.Expect(opened.n.Load()).To(BeEquivalentTo(2), "the connection that was tried is used")
				}
				c.SetTargets(nil)
				time.Sleep(time.Minute)
			})
		})
	}
}

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

// countConnections sends two attempts in sequence to a replica that replies to the
// first one after replyDelay and to the second one at once. It returns the number of
// connections that were opened; at most one is open at a time.
func countConnections(t *testing.T, budget, replyDelay time.Duration) int32 {
	var counter connectionCounter
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		openPipe := func(context.Context, string) (net.Conn, error) {
			clientEnd, serverEnd := net.Pipe()
			go serveConn(serverEnd, func(w net.Conn, id string, _ int) {
				if id == "a" {
					time.Sleep(replyDelay)
				}
				writeResponse(w, id, "x")
			})
			return clientEnd, nil
		}
		c := forward.New(testCodec{}, openPipe, &counter, nil)
		c.SetTargets([]forward.Target{{Key: "r", Address: "replica", MaxConnections: 1, KeepIdle: true}})
		start := time.Now()
		g.Expect(sendAndWait(c, newRequest("a", budget)).Outcome).To(Equal(dispatch.Unknown))
		g.Expect(time.Since(start)).To(Equal(budget), "the attempt ends when its budget is used up")
		g.Expect(sendAndWait(c, newRequest("b", 5*time.Second)).Outcome).To(Equal(dispatch.OK))
		c.SetTargets(nil)
		time.Sleep(time.Minute)
	})
	return counter.count.Load()
}

// A replica that abandons a request at its deadline replies just after it. The
// connection must be reused: to accept a new one would cost the replica time that
// other requests need.
func TestLateReplyKeepsConnection(t *testing.T) {
	NewWithT(t).Expect(countConnections(t, 40*time.Millisecond, 45*time.Millisecond)).To(BeEquivalentTo(1))
}

// A connection on which no reply arrives within the grace period is replaced.
func TestSilentConnectionIsReplaced(t *testing.T) {
	NewWithT(t).Expect(countConnections(t, 40*time.Millisecond, 4*time.Second)).To(BeEquivalentTo(2))
}

// A replica that closes a connection during an attempt and then refuses a new one
// has crashed during the attempt. If it accepts a new connection, only the old one
// was lost. If it doesn't respond to the dial, it may be overloaded.
func TestReplicaCrashIsDetected(t *testing.T) {
	for name, tc := range map[string]struct {
		dialErr error
		code    result.Code
	}{
		"the port is closed":           {syscall.ECONNREFUSED, result.EndpointCrashed},
		"a new connection is accepted": {nil, result.OutcomeUnknown},
		"the dial times out":           {context.DeadlineExceeded, result.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var counter connectionCounter
				first := true
				openPipe := func(context.Context, string) (net.Conn, error) {
					if !first && tc.dialErr != nil {
						return nil, tc.dialErr
					}
					clientEnd, serverEnd := net.Pipe()
					closesOnRequest := first
					first = false
					go serveConn(serverEnd, func(w net.Conn, id string, _ int) {
						if closesOnRequest {
							_ = w.Close()
							return
						}
						writeResponse(w, id, "x")
					})
					return clientEnd, nil
				}
				c := forward.New(testCodec{}, openPipe, &counter, nil)
				c.SetTargets([]forward.Target{{Key: "r", Address: "replica", MaxConnections: 1, KeepIdle: true}})
				reply := sendAndWait(c, newRequest("a", time.Second))
				g.Expect(reply.Outcome).To(Equal(dispatch.Unknown))
				g.Expect(reply.Code).To(Equal(tc.code))
				if tc.dialErr == nil {
					g.Expect(sendAndWait(c, newRequest("b", time.Second)).Outcome).To(Equal(dispatch.OK))
					g.Expect(counter.count.Load()).To(BeEquivalentTo(2), "the connection of the crash check is reused")
				}
				c.SetTargets(nil)
				time.Sleep(time.Minute)
			})
		})
	}
}

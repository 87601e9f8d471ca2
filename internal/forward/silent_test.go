package forward_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/forward"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// A replica that neither responds to a suspect nor accepts a connection has ended. One
// that accepts is only slow, and so may be one that any other request waits for.
func TestSuspectTellsASilentReplicaFromASlowOne(t *testing.T) {
	const replyDelay = 3 * time.Second
	for name, tc := range map[string]struct {
		suspect, accepts bool
		outcome          dispatch.Outcome
		code             result.Code
	}{
		"silent, suspect":       {true, false, dispatch.Unknown, result.EndpointCrashed},
		"slow, suspect":         {true, true, dispatch.OK, 0},
		"silent, not a suspect": {false, false, dispatch.OK, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var counter connectionCounter
				first := true
				openPipe := func(ctx context.Context, _ string) (net.Conn, error) {
					if !first && !tc.accepts {
						<-ctx.Done()
						return nil, ctx.Err()
					}
					first = false
					clientEnd, serverEnd := net.Pipe()
					go serveConn(serverEnd, func(w net.Conn, id string, _ int) {
						time.Sleep(replyDelay)
						writeResponse(w, id, "x")
					})
					return clientEnd, nil
				}
				c := forward.New(testCodec{}, openPipe, &counter, nil)
				c.SetTargets([]forward.Target{{Key: "r", Address: "replica", MaxConnections: 1}})
				req := newRequest("a", 2*replyDelay)
				req.Suspect = tc.suspect
				started := time.Now()
				reply := sendAndWait(c, req)
				g.Expect(reply.Outcome).To(Equal(tc.outcome))
				g.Expect(reply.Code).To(Equal(tc.code))
				if reply.Outcome == dispatch.Unknown {
					g.Expect(time.Since(started)).To(BeNumerically("<", replyDelay))
				}
				c.SetTargets(nil)
				time.Sleep(time.Minute)
			})
		})
	}
}

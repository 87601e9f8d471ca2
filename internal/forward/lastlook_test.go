package forward_test

import (
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/forward"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// Guards against requests that are written for callers who have left, and with time that is
// over: the caller and the deadline are looked at last, since the other checks may take long on
// a host that is short of processor time.
func TestCallerAndDeadlineAreLookedAtLast(t *testing.T) {
	t.Parallel()
	const budget = 2 * time.Second
	for name, tc := range map[string]struct {
		leaves    bool
		checkTime time.Duration
		code      result.Code
	}{
		"the caller leaves during the other checks": {leaves: true, code: result.CallerGone},
		"the deadline passes during them":           {checkTime: budget, code: result.ExpiredBeforeSend},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var arrived atomic.Int32
			address := startReplica(t, func(c net.Conn, id string, _ int) {
				arrived.Add(1)
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
			})
			client := forward.New(testCodec{}, dial.TCP, &connectionCounter{}, nil)
			client.SetTargets([]forward.Target{{Key: "r", Address: address, MaxConnections: 1}})
			var left atomic.Bool
			replies := make(chan dispatch.Reply, 1)
			client.Send(dispatch.Request{
				Key: dispatch.Key{Request: "q", Attempt: 1}, Endpoint: "r", Budget: budget, Message: &dispatch.Message{ID: "id"},
				Departed: left.Load,
				Barred: func() result.Code {
					left.Store(tc.leaves)
					time.Sleep(tc.checkTime)
					return 0
				},
			}, func(r dispatch.Reply) { replies <- r })
			reply := <-replies
			g.Expect(reply.Outcome).To(Equal(dispatch.Refused))
			g.Expect(reply.Code).To(Equal(tc.code))
			g.Expect(arrived.Load()).To(BeZero())
		})
	}
}

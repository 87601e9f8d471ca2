package forward_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/forward"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

// bodyCodec is a testCodec that sends the body of the message.
type bodyCodec struct{ testCodec }

func (bodyCodec) Encode(buf []byte, req *dispatch.Request, _ time.Duration) []byte {
	buf = fmt.Appendf(buf, "POST / HTTP/1.1\r\nHost: x\r\nId: %s\r\nContent-Length: %d\r\n\r\n", req.Message.ID, len(req.Message.Body))
	return append(buf, req.Message.Body...)
}

// Guards against the delivery of a request, by the kernel, after its attempt was given
// up: the replica would work for a caller that has left.
func TestAbandonedRequestIsNotDeliveredLater(t *testing.T) {
	g := NewWithT(t)
	receiver := testsuite.NewStalledReceiver(t)
	counter := &connectionCounter{}
	c := forward.New(bodyCodec{}, dial.TCP, counter, nil)
	c.SetTargets([]forward.Target{{Key: "r", Address: receiver.Address, MaxConnections: 1}})
	req := newRequest("a", time.Minute)
	req.Message.Body = make([]byte, testsuite.StalledMessageBytes)
	replies := make(chan dispatch.Reply, 1)
	c.Send(req, func(r dispatch.Reply) { replies <- r })
	g.Eventually(receiver.Arrived, 10*time.Second).Should(BeClosed())
	c.Cancel(req.Key)
	g.Eventually(replies, 10*time.Second).Should(Receive(HaveField("Code", result.Cancelled)))
	g.Expect(receiver.Resume()).To(BeNumerically("<", testsuite.StalledMessageBytes))
	g.Expect(counter.abandoned.Load()).To(BeEquivalentTo(1))
	g.Expect(counter.unacknowledged.Load()).To(BeEquivalentTo(1))
}

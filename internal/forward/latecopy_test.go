package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

// copyingReplica sends a second copy of each response, at the point where the next
// response on the same connection is due.
type copyingReplica struct {
	mu   sync.Mutex
	late map[net.Conn]string
	// statuses are the statuses of the next responses, with the number of the response as
	// the body; 200 once there are none left.
	statuses []int
	sent     int
	// unnamed leaves the ID out of copies.
	unnamed bool
}

// answer responds to a request.
func (r *copyingReplica) answer(c net.Conn, id string, _ int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	status := http.StatusOK
	if len(r.statuses) > 0 {
		status, r.statuses = r.statuses[0], r.statuses[1:]
	}
	r.sent++
	body := strconv.Itoa(r.sent)
	head := fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Length: %d\r\n", status, len(body))
	named := head + "Id: " + id + "\r\n\r\n" + body
	_, _ = io.WriteString(c, r.late[c]+named)
	if r.late == nil {
		r.late = map[net.Conn]string{}
	}
	r.late[c] = named
	if r.unnamed {
		r.late[c] = head + "\r\n" + body
	}
}

// Guards against a retry that is decided by a late copy of the rejection of the attempt
// before it: the request ran and its caller was told that it had not (review, case 2).
func TestLateCopyOfRejectionDoesNotDecideRetry(t *testing.T) {
	for _, maxConnections := range []int{1, 2} {
		g := NewWithT(t)
		replica := &copyingReplica{statuses: []int{http.StatusServiceUnavailable, http.StatusOK}}
		c, _ := newClient(startReplica(t, replica.answer), maxConnections)
		first, retry := newRequest("a", time.Second), newRequest("a", time.Second)
		retry.Attempt = 2
		g.Expect(sendAndWait(c, first).Outcome).To(Equal(dispatch.Refused))
		reply := sendAndWait(c, retry)
		g.Expect(reply.Outcome).To(Equal(dispatch.OK))
		g.Expect(string(reply.Response.Body)).To(Equal("2"))
	}
}

// Guards against an answer without an ID that is taken for the answer to the request
// which follows on the same connection, though the replica repeats IDs.
func TestLateCopyWithoutIDIsNoAnswer(t *testing.T) {
	g := NewWithT(t)
	replica := &copyingReplica{statuses: []int{http.StatusServiceUnavailable, http.StatusOK}, unnamed: true}
	c, counter := newClient(startReplica(t, replica.answer), 1)
	g.Expect(sendAndWait(c, newRequest("a", time.Second)).Outcome).To(Equal(dispatch.Refused))
	reply := sendAndWait(c, newRequest("b", time.Second))
	g.Expect(reply.Outcome).To(Equal(dispatch.OK))
	g.Expect(string(reply.Response.Body)).To(Equal("2"))
	g.Expect(counter.count.Load()).To(BeEquivalentTo(1))
}

// An attempt that waits for a connection gets none that has carried its ID, and does not
// wait for ever when all have.
func TestWaitingAttemptGetsConnectionOfItsOwn(t *testing.T) {
	g := NewWithT(t)
	replica := &copyingReplica{}
	slow := func(w net.Conn, id string, n int) {
		time.Sleep(10 * time.Millisecond)
		replica.answer(w, id, n)
	}
	c, counter := newClient(startReplica(t, slow), 1)
	replies := make(chan dispatch.Reply, 3)
	for n := range uint32(3) {
		req := newRequest("a", 5*time.Second)
		req.Attempt = n + 1
		c.Send(req, func(r dispatch.Reply) { replies <- r })
	}
	bodies := map[string]bool{}
	for range 3 {
		reply := <-replies
		g.Expect(reply.Outcome).To(Equal(dispatch.OK))
		bodies[string(reply.Response.Body)] = true
	}
	g.Expect(bodies).To(HaveLen(3))
	g.Expect(counter.count.Load()).To(BeEquivalentTo(3))
}

// Each attempt gets the response that the replica sent for it, whichever requests share an
// ID and however many connections there are, though the replica sends each response twice.
func TestAnswerBelongsToOneAttempt(t *testing.T) {
	testsuite.CheckN(t, 30, func(r *rapid.T) {
		replica := &copyingReplica{}
		c, _ := newClient(startReplica(t, replica.answer), rapid.IntRange(1, 3).Draw(r, "connections"))
		for n := range rapid.IntRange(2, 12).Draw(r, "requests") {
			status := rapid.SampledFrom([]int{http.StatusOK, http.StatusServiceUnavailable}).Draw(r, "status")
			replica.statuses = []int{status}
			req := newRequest(rapid.SampledFrom([]string{"", "a", "b"}).Draw(r, "ID"), 5*time.Second)
			req.Attempt = uint32(n + 1)
			reply := sendAndWait(c, req)
			refused := reply.Outcome == dispatch.Refused
			if refused != (status == http.StatusServiceUnavailable) {
				r.Fatalf("request %d: status %d, outcome %d", n, status, reply.Outcome)
			}
			if !refused && string(reply.Response.Body) != strconv.Itoa(n+1) {
				r.Fatalf("request %d got response %s", n, reply.Response.Body)
			}
		}
	})
}

package client

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestClient(t *testing.T) { testsuite.RunSpecs(t, "client") }

// Behaviours of a fake host other than answering with a result code.
const (
	noListener   api.Code = 0
	lostReply    api.Code = 1
	foreignPage  api.Code = 2
	redirect     api.Code = 3
	otherRequest api.Code = 4
)

// fakeHost treats every request with the same behaviour, a result code or one of the
// constants above, and records the permits and budgets it received.
type fakeHost struct {
	behaviour api.Code
	mu        sync.Mutex
	permits   []string
	budgets   []int
}

func (f *fakeHost) record(s api.SubmitRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.permits = append(f.permits, s.Permit)
	f.budgets = append(f.budgets, s.BudgetMS)
}

func (f *fakeHost) setBehaviour(behaviour api.Code) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behaviour = behaviour
}

func (f *fakeHost) currentBehaviour() api.Code {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behaviour
}

func (f *fakeHost) receivedPermits() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.permits
}

func (f *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var s api.SubmitRequest
	Expect(json.NewDecoder(r.Body).Decode(&s)).To(Succeed())
	f.record(s)
	behaviour := f.currentBehaviour()
	answer := api.NewErrorAnswer(s.RequestID, result.Errorf(behaviour, "set by the test"))
	switch behaviour {
	case lostReply:
		panic(http.ErrAbortHandler)
	case foreignPage:
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("<html>try later</html>"))
		return
	case redirect:
		http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		return
	case otherRequest:
		answer = api.NewErrorAnswer("another", result.Errorf(result.Stopping, "for another request"))
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// startHosts starts the hosts and returns their addresses. Nothing listens at the
// address of a noListener host.
func startHosts(hosts []*fakeHost) []string {
	addresses := make([]string, len(hosts))
	for i, h := range hosts {
		server := httptest.NewServer(h)
		addresses[i] = strings.TrimPrefix(server.URL, "http://")
		if h.behaviour == noListener {
			server.Close()
		} else {
			DeferCleanup(server.Close)
		}
	}
	return addresses
}

func fakeHosts(behaviours []api.Code) []*fakeHost {
	hosts := make([]*fakeHost, len(behaviours))
	for i, b := range behaviours {
		hosts[i] = &fakeHost{behaviour: b}
	}
	return hosts
}

func codeOf(err error) api.Code {
	var e *api.Error
	if !errors.As(err, &e) {
		return 0
	}
	return e.Code
}

// hostCase is the behaviour of each host in order, the code that the client must return
// and the number of requests that each host must receive.
type hostCase struct {
	hosts []api.Code
	code  api.Code
	sent  []int
}

var _ = Describe("A client", func() {
	run := func(tc hostCase, call func(*Client) (api.Code, error)) {
		hosts := fakeHosts(tc.hosts)
		c, err := New(startHosts(hosts), Options{})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		code, err := call(c)
		Expect(code).To(Equal(tc.code))
		if tc.code.Class() <= api.ClassPartial {
			Expect(err).NotTo(HaveOccurred())
		} else {
			Expect(codeOf(err)).To(Equal(tc.code))
		}
		sent := make([]int, len(hosts))
		for i, h := range hosts {
			sent[i] = len(h.receivedPermits())
		}
		Expect(sent).To(Equal(tc.sent))
	}

	DescribeTable("sends a query to another host only if the previous one certainly did not run it",
		func(tc hostCase) {
			run(tc, func(c *Client) (api.Code, error) {
				a, err := c.Query(context.Background(), api.QueryRequest{Service: "s", Caller: "c"})
				Expect(a.Name).To(Equal(a.Code.String()))
				return a.Code, err
			})
		},
		Entry("complete", hostCase{[]api.Code{result.Complete, result.Complete}, result.Complete, []int{1, 0}}),
		Entry("partial", hostCase{[]api.Code{result.Partial, result.Complete}, result.Partial, []int{1, 0}}),
		Entry("no listener", hostCase{[]api.Code{noListener, result.Complete}, result.Complete, []int{0, 1}}),
		Entry("no listener at all", hostCase{[]api.Code{noListener, noListener}, result.HostUnreachable, []int{0, 0}}),
		Entry("not ready", hostCase{[]api.Code{result.NotReady, result.Stopping, result.Complete}, result.Complete, []int{1, 1, 1}}),
		Entry("every queue is full", hostCase{[]api.Code{result.QueueFull, result.QueueFull}, result.QueueFull, []int{1, 1}}),
		Entry("over the caller's rate", hostCase{[]api.Code{result.CallerRate, result.Complete}, result.CallerRate, []int{1, 0}}),
		Entry("quarantined", hostCase{[]api.Code{result.Quarantined, result.Complete}, result.Quarantined, []int{1, 0}}),
		Entry("lost reply", hostCase{[]api.Code{lostReply, result.Complete}, result.OutcomeUnknown, []int{1, 0}}),
		Entry("a load balancer's error page", hostCase{[]api.Code{foreignPage, result.Complete}, result.OutcomeUnknown, []int{1, 0}}),
		Entry("a redirect is not followed", hostCase{[]api.Code{redirect, result.Complete}, result.OutcomeUnknown, []int{1, 0}}),
		Entry("an answer to another request", hostCase{[]api.Code{otherRequest, result.Complete}, result.OutcomeUnknown, []int{1, 0}}),
		Entry("failed", hostCase{[]api.Code{result.EndpointFailed, result.Complete}, result.EndpointFailed, []int{1, 0}}),
	)

	DescribeTable("submits with one permit and returns a refusal only if no attempt can have run",
		func(tc hostCase) {
			run(tc, func(c *Client) (api.Code, error) {
				a, err := c.Submit(context.Background(), api.SubmitRequest{Service: "s", Caller: "c", Permit: "p1"})
				return a.Code, err
			})
		},
		Entry("done", hostCase{[]api.Code{result.Done, result.Done}, result.Done, []int{1, 0}}),
		Entry("no listener", hostCase{[]api.Code{noListener, result.Done}, result.Done, []int{0, 1}}),
		Entry("lost reply, then the outcome", hostCase{[]api.Code{lostReply, result.Replayed}, result.Replayed, []int{1, 1}}),
		Entry("lost reply, then a stopping host", hostCase{[]api.Code{lostReply, result.Stopping}, result.OutcomeUnknown, []int{1, 1}}),
		Entry("lost reply, then no listener", hostCase{[]api.Code{lostReply, noListener}, result.OutcomeUnknown, []int{1, 0}}),
		Entry("lost reply, then a burnt permit", hostCase{[]api.Code{lostReply, result.PermitBurnt}, result.PermitBurnt, []int{1, 1}}),
		Entry("lost reply, then failed", hostCase{[]api.Code{lostReply, result.EndpointFailed}, result.EndpointFailed, []int{1, 1}}),
		Entry("unknown because the issuer was replaced is final", hostCase{[]api.Code{result.IssuerReplaced, result.Done}, result.IssuerReplaced, []int{1, 0}}),
		Entry("not run is final", hostCase{[]api.Code{result.AllRefused, result.Done}, result.AllRefused, []int{1, 0}}),
	)

	It("never sends a submit twice over a persistent connection", func() {
		hosts := fakeHosts([]api.Code{result.Done})
		c, err := New(startHosts(hosts), Options{ConnectionsPerHost: 1})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		request := api.SubmitRequest{Service: "s", Caller: "c", Permit: "p1"}
		_, err = c.Submit(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		hosts[0].setBehaviour(lostReply)
		_, err = c.Submit(context.Background(), request)
		Expect(codeOf(err)).To(Equal(result.OutcomeUnknown))
		Expect(hosts[0].receivedPermits()).To(HaveLen(2))
	})

	It("sends the remaining time as the budget", func() {
		hosts := fakeHosts([]api.Code{result.Complete})
		c, err := New(startHosts(hosts), Options{})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = c.Query(context.Background(), api.QueryRequest{Service: "s", Caller: "c", BudgetMS: 7})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Query(context.Background(), api.QueryRequest{Service: "s", Caller: "c"})
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts[0].budgets).To(HaveExactElements(7, And(BeNumerically(">", 0), BeNumerically("<=", DefaultTimeout.Milliseconds()))))
		expired, cancel := context.WithTimeout(context.Background(), 0)
		defer cancel()
		_, err = c.Query(expired, api.QueryRequest{Service: "s", Caller: "c"})
		Expect(codeOf(err).Class()).To(Equal(api.ClassNotRun))
		Expect(hosts[0].budgets).To(HaveLen(2))
	})

	It("submits nothing if the permit can't be stored", func() {
		issuer := &fakeHost{behaviour: result.PermitIssued}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != api.PathPermit {
				issuer.ServeHTTP(w, r)
				return
			}
			var p api.PermitRequest
			Expect(json.NewDecoder(r.Body).Decode(&p)).To(Succeed())
			_ = json.NewEncoder(w).Encode(api.PermitAnswer{RequestID: p.RequestID, Code: result.PermitIssued, Permits: []string{"p7"}})
		}))
		defer server.Close()
		c, err := New([]string{strings.TrimPrefix(server.URL, "http://")}, Options{})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		errStoreFull := errors.New("store is full")
		_, err = c.SubmitOnce(context.Background(), api.SubmitRequest{Service: "s", Caller: "c"}, func(string) error { return errStoreFull })
		Expect(err).To(MatchError(errStoreFull))
		Expect(issuer.receivedPermits()).To(BeEmpty())
		_, err = c.SubmitOnce(context.Background(), api.SubmitRequest{Service: "s", Caller: "c"}, func(string) error { return nil })
		Expect(err).NotTo(HaveOccurred())
		Expect(issuer.receivedPermits()).To(Equal([]string{"p7"}))
	})

	DescribeTable("refuses addresses that it can't call", func(addresses ...string) {
		_, err := New(addresses, Options{})
		Expect(codeOf(err)).To(Equal(result.InvalidValue))
	},
		Entry("none"),
		Entry("a name", "localhost:80"),
		Entry("no port", "127.0.0.1"),
	)
})

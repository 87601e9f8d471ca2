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

// Behaviours of a fake host besides answering with a code.
const (
	absent   api.Code = 0
	lost     api.Code = 1
	garbage  api.Code = 2
	redirect api.Code = 3
	foreign  api.Code = 4
)

// fakeHost answers every request with the same behaviour and keeps the permits
// that it saw.
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

func (f *fakeHost) set(behaviour api.Code) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.behaviour = behaviour
}

func (f *fakeHost) behave() api.Code {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.behaviour
}

func (f *fakeHost) sent() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.permits
}

func (f *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var s api.SubmitRequest
	Expect(json.NewDecoder(r.Body).Decode(&s)).To(Succeed())
	f.record(s)
	behaviour := f.behave()
	answer := api.NewErrorAnswer(s.RequestID, result.Errorf(behaviour, "as the table says"))
	switch behaviour {
	case lost:
		panic(http.ErrAbortHandler)
	case garbage:
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("<html>try later</html>"))
		return
	case redirect:
		http.Redirect(w, r, r.URL.Path, http.StatusTemporaryRedirect)
		return
	case foreign:
		answer = api.NewErrorAnswer("another", result.Errorf(result.Stopping, "for another request"))
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// start runs the hosts and returns their addresses; an absent one has no listener.
func start(hosts []*fakeHost) []string {
	addresses := make([]string, len(hosts))
	for i, h := range hosts {
		server := httptest.NewServer(h)
		addresses[i] = strings.TrimPrefix(server.URL, "http://")
		if h.behaviour == absent {
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

// entry is the behaviour of the hosts in order, and what must come of it.
type entry struct {
	hosts []api.Code
	code  api.Code
	sent  []int
}

var _ = Describe("A client", func() {
	run := func(e entry, call func(*Client) (api.Code, error)) {
		hosts := fakeHosts(e.hosts)
		c, err := New(start(hosts), Options{})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		code, err := call(c)
		Expect(code).To(Equal(e.code))
		if e.code.Class() <= api.ClassPartial {
			Expect(err).NotTo(HaveOccurred())
		} else {
			Expect(codeOf(err)).To(Equal(e.code))
		}
		sent := make([]int, len(hosts))
		for i, h := range hosts {
			sent[i] = len(h.sent())
		}
		Expect(sent).To(Equal(e.sent))
	}

	DescribeTable("sends a query to another host only if the last one provably did not run it",
		func(e entry) {
			run(e, func(c *Client) (api.Code, error) {
				a, err := c.Query(context.Background(), api.QueryRequest{Service: "s", Caller: "c"})
				Expect(a.Name).To(Equal(a.Code.String()))
				return a.Code, err
			})
		},
		Entry("complete", entry{[]api.Code{result.Complete, result.Complete}, result.Complete, []int{1, 0}}),
		Entry("partial", entry{[]api.Code{result.Partial, result.Complete}, result.Partial, []int{1, 0}}),
		Entry("no listener", entry{[]api.Code{absent, result.Complete}, result.Complete, []int{0, 1}}),
		Entry("no listener at all", entry{[]api.Code{absent, absent}, result.HostUnreachable, []int{0, 0}}),
		Entry("not ready", entry{[]api.Code{result.NotReady, result.Stopping, result.Complete}, result.Complete, []int{1, 1, 1}}),
		Entry("every queue is full", entry{[]api.Code{result.QueueFull, result.QueueFull}, result.QueueFull, []int{1, 1}}),
		Entry("over the caller's rate", entry{[]api.Code{result.CallerRate, result.Complete}, result.CallerRate, []int{1, 0}}),
		Entry("quarantined", entry{[]api.Code{result.Quarantined, result.Complete}, result.Quarantined, []int{1, 0}}),
		Entry("lost reply", entry{[]api.Code{lost, result.Complete}, result.OutcomeUnknown, []int{1, 0}}),
		Entry("a balancer's own page", entry{[]api.Code{garbage, result.Complete}, result.OutcomeUnknown, []int{1, 0}}),
		Entry("a redirect is not followed", entry{[]api.Code{redirect, result.Complete}, result.OutcomeUnknown, []int{1, 0}}),
		Entry("the answer to another request", entry{[]api.Code{foreign, result.Complete}, result.OutcomeUnknown, []int{1, 0}}),
		Entry("failed", entry{[]api.Code{result.EndpointFailed, result.Complete}, result.EndpointFailed, []int{1, 0}}),
	)

	DescribeTable("submits one permit and believes a refusal only if nothing can have run",
		func(e entry) {
			run(e, func(c *Client) (api.Code, error) {
				a, err := c.Submit(context.Background(), api.SubmitRequest{Service: "s", Caller: "c", Permit: "p1"})
				return a.Code, err
			})
		},
		Entry("done", entry{[]api.Code{result.Done, result.Done}, result.Done, []int{1, 0}}),
		Entry("no listener", entry{[]api.Code{absent, result.Done}, result.Done, []int{0, 1}}),
		Entry("lost reply, then the outcome", entry{[]api.Code{lost, result.Replayed}, result.Replayed, []int{1, 1}}),
		Entry("lost reply, then a stopping host", entry{[]api.Code{lost, result.Stopping}, result.OutcomeUnknown, []int{1, 1}}),
		Entry("lost reply, then nobody", entry{[]api.Code{lost, absent}, result.OutcomeUnknown, []int{1, 0}}),
		Entry("lost reply, then a burnt permit", entry{[]api.Code{lost, result.PermitBurnt}, result.PermitBurnt, []int{1, 1}}),
		Entry("lost reply, then failed", entry{[]api.Code{lost, result.EndpointFailed}, result.EndpointFailed, []int{1, 1}}),
		Entry("unknown stays unknown", entry{[]api.Code{result.IssuerReplaced, result.Done}, result.IssuerReplaced, []int{1, 0}}),
		Entry("not run is final", entry{[]api.Code{result.AllRefused, result.Done}, result.AllRefused, []int{1, 0}}),
	)

	It("never sends a submit twice over a kept connection", func() {
		hosts := fakeHosts([]api.Code{result.Done})
		c, err := New(start(hosts), Options{ConnectionsPerHost: 1})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		request := api.SubmitRequest{Service: "s", Caller: "c", Permit: "p1"}
		_, err = c.Submit(context.Background(), request)
		Expect(err).NotTo(HaveOccurred())
		hosts[0].set(lost)
		_, err = c.Submit(context.Background(), request)
		Expect(codeOf(err)).To(Equal(result.OutcomeUnknown))
		Expect(hosts[0].sent()).To(HaveLen(2))
	})

	It("passes the time that is left on as the budget", func() {
		hosts := fakeHosts([]api.Code{result.Complete})
		c, err := New(start(hosts), Options{})
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = c.Query(context.Background(), api.QueryRequest{Service: "s", Caller: "c", BudgetMS: 7})
		Expect(err).NotTo(HaveOccurred())
		_, err = c.Query(context.Background(), api.QueryRequest{Service: "s", Caller: "c"})
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts[0].budgets).To(HaveExactElements(7, And(BeNumerically(">", 0), BeNumerically("<=", DefaultTimeout.Milliseconds()))))
		ended, cancel := context.WithTimeout(context.Background(), 0)
		defer cancel()
		_, err = c.Query(ended, api.QueryRequest{Service: "s", Caller: "c"})
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
		full := errors.New("store is full")
		_, err = c.SubmitOnce(context.Background(), api.SubmitRequest{Service: "s", Caller: "c"}, func(string) error { return full })
		Expect(err).To(MatchError(full))
		Expect(issuer.sent()).To(BeEmpty())
		_, err = c.SubmitOnce(context.Background(), api.SubmitRequest{Service: "s", Caller: "c"}, func(string) error { return nil })
		Expect(err).NotTo(HaveOccurred())
		Expect(issuer.sent()).To(Equal([]string{"p7"}))
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

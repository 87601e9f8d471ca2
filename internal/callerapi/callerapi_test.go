package callerapi

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestCallerAPI(t *testing.T) { testsuite.RunSpecs(t, "callerapi") }

// fakeHandler is a Handler with fixed answers that counts its calls. The query
// "wait" closes started, waits until its context is cancelled, and closes cancelled.
type fakeHandler struct {
	calls     int
	hits      int
	ready     bool
	started   chan struct{}
	cancelled chan struct{}
}

func (f *fakeHandler) Query(ctx context.Context, q api.QueryRequest) api.QueryAnswer {
	f.calls++
	if q.Query == "wait" {
		close(f.started)
		<-ctx.Done()
		close(f.cancelled)
	}
	hits := make([]api.Hit, f.hits)
	for i := range hits {
		hits[i].Document = strconv.Itoa(i)
	}
	return api.QueryAnswer{Code: result.Complete, Name: "complete", Class: "complete", Hits: hits}
}

func (f *fakeHandler) Permit(context.Context, api.PermitRequest) api.PermitAnswer {
	f.calls++
	return api.PermitAnswer{Code: result.PermitIssued, Permits: []string{"p"}}
}

func (f *fakeHandler) Submit(context.Context, api.SubmitRequest) api.SubmitAnswer {
	f.calls++
	return api.SubmitAnswer{Code: result.OutcomeUnknown}
}

func (f *fakeHandler) Status() api.StatusAnswer {
	return api.StatusAnswer{Ready: f.ready, Code: result.NotReady}
}

const validQuery = `{"request_id":"r1","service":"s","caller":"c","query":"q"}`

var _ = Describe("The caller API", func() {
	var (
		handler *fakeHandler
		options Options
		refused []result.Code
		address string
	)
	BeforeEach(func() {
		handler = &fakeHandler{started: make(chan struct{}), cancelled: make(chan struct{})}
		refused = nil
		options = Options{MaxBodyBytes: 1000, OnRefused: func(c result.Code) { refused = append(refused, c) }}
	})
	JustBeforeEach(func() {
		app, err := New(handler, options)
		Expect(err).NotTo(HaveOccurred())
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		address = listener.Addr().String()
		server := NewServer(app)
		done := make(chan error, 1)
		go func() { done <- server.Serve(listener) }()
		DeferCleanup(func() {
			Expect(server.Close()).To(Succeed())
			Expect(<-done).To(MatchError(http.ErrServerClosed))
		})
	})
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(func() { _ = conn.Close() })
		return conn
	}
	receive := func(conn net.Conn) (*http.Response, []byte, api.ErrorAnswer) {
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		Expect(err).NotTo(HaveOccurred())
		var a api.ErrorAnswer
		Expect(json.Unmarshal(body, &a)).To(Succeed(), string(body))
		return response, body, a
	}
	send := func(method, path, headers, body string) (*http.Response, []byte, api.ErrorAnswer) {
		conn := dial()
		_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n%s\r\n%s", method, path, len(body), headers, body)
		Expect(err).NotTo(HaveOccurred())
		return receive(conn)
	}
	const jsonType = "Content-Type: application/json\r\n"

	DescribeTable("refuses invalid requests with a result code, without calling the handler",
		func(method, path, headers, body string, code result.Code, status int, field string) {
			response, _, a := send(method, path, headers, body)
			Expect(a.Code).To(Equal(code), a.Reason)
			Expect(a.Field).To(Equal(field))
			Expect(a.Name).To(Equal(code.String()))
			Expect(a.Class).To(Equal("not-run"))
			Expect(a.Reason).NotTo(BeEmpty())
			Expect(response.StatusCode).To(Equal(status))
			Expect(response.Header.Get(api.HeaderCode)).To(Equal(strconv.Itoa(int(code))))
			Expect(refused).To(Equal([]result.Code{code}))
			Expect(handler.calls).To(BeZero())
		},
		Entry("incomplete JSON", "POST", "/v1/query", jsonType, validQuery[:20], result.BadJSON, 400, ""),
		Entry("no body", "POST", "/v1/query", jsonType, "", result.BadJSON, 400, ""),
		Entry("two values", "POST", "/v1/query", jsonType, validQuery+validQuery, result.BadJSON, 400, ""),
		Entry("not UTF-8", "POST", "/v1/query", jsonType, "{\"service\":\"\xff\"}", result.BadJSON, 400, ""),
		Entry("a list", "POST", "/v1/submit", jsonType, "[]", result.BadJSON, 400, ""),
		Entry("unknown field", "POST", "/v1/permit", jsonType, `{"service":"s","callr":"c"}`, result.UnknownField, 400, "callr"),
		Entry("wrong type", "POST", "/v1/query", jsonType, `{"service":"s","caller":"c","budget_ms":"1s"}`, result.InvalidValue, 400, "budget_ms"),
		Entry("oversized body", "POST", "/v1/query", jsonType, strings.Repeat(" ", 1001), result.BodyTooLarge, 413, ""),
		Entry("no media type", "POST", "/v1/query", "", validQuery, result.WrongMediaType, 415, "Content-Type"),
		Entry("form body", "POST", "/v1/submit", "Content-Type: application/x-www-form-urlencoded\r\n", "a=b", result.WrongMediaType, 415, "Content-Type"),
		Entry("no service", "POST", "/v1/query", jsonType, `{"caller":"c"}`, result.InvalidValue, 400, "service"),
		Entry("no caller", "POST", "/v1/query", jsonType, `{"service":"s"}`, result.InvalidValue, 400, "caller"),
		Entry("control character", "POST", "/v1/query", jsonType, `{"service":"s","caller":"c\n"}`, result.InvalidValue, 400, "caller"),
		Entry("long request ID", "POST", "/v1/query", jsonType, `{"service":"s","caller":"c","request_id":"`+strings.Repeat("x", 129)+`"}`, result.InvalidValue, 400, "request_id"),
		Entry("negative limit", "POST", "/v1/query", jsonType, `{"service":"s","caller":"c","limit":-1}`, result.InvalidValue, 400, "limit"),
		Entry("negative budget", "POST", "/v1/submit", jsonType, `{"service":"s","caller":"c","permit":"p","budget_ms":-1}`, result.InvalidValue, 400, "budget_ms"),
		Entry("submit without permit", "POST", "/v1/submit", jsonType, `{"service":"s","caller":"c"}`, result.PermitRequired, 400, "permit"),
		Entry("key outside the key space", "POST", "/v1/submit", jsonType, `{"service":"s","caller":"c","permit":"p","key":4294967296}`, result.InvalidValue, 400, "key"),
		Entry("too many permits", "POST", "/v1/permit", jsonType, `{"service":"s","caller":"c","count":1001}`, result.InvalidValue, 400, "count"),
		Entry("GET of a query", "GET", "/v1/query", "", "", result.MethodNotAllowed, 405, "method"),
		Entry("DELETE of a status", "DELETE", "/v1/status", "", "", result.MethodNotAllowed, 405, "method"),
		Entry("unknown path", "POST", "/v1/querys", jsonType, validQuery, result.NotFound, 404, "path"),
		Entry("trailing slash", "POST", "/v1/query/", jsonType, validQuery, result.NotFound, 404, "path"),
	)

	It("echoes the request ID of the body, or else that of the header", func() {
		response, _, a := send("POST", "/v1/query", jsonType+"X-Request-ID: h1\r\n", validQuery)
		Expect([]string{a.RequestID, response.Header.Get(api.HeaderRequestID)}).To(Equal([]string{"r1", "r1"}))
		response, _, a = send("POST", "/v1/permit", jsonType+"X-Request-ID: h1\r\n", `{"service":"s","caller":"c"}`)
		Expect([]string{a.RequestID, response.Header.Get(api.HeaderRequestID)}).To(Equal([]string{"h1", "h1"}))
		_, _, a = send("POST", "/v1/submit", jsonType+"X-Request-ID: h2\r\n", `{`)
		Expect(a.RequestID).To(Equal("h2"))
	})

	It("returns the handler's code with the status of its class", func() {
		response, _, a := send("POST", "/v1/submit", jsonType, `{"service":"s","caller":"c","permit":"p"}`)
		Expect(a.Code).To(Equal(result.OutcomeUnknown))
		Expect(response.StatusCode).To(Equal(http.StatusGatewayTimeout))
		Expect(response.Header.Get(api.HeaderCode)).To(Equal("400"))
		Expect(refused).To(BeEmpty())
	})

	It("reports liveness apart from readiness", func() {
		response, _, _ := send("GET", "/live", "", "")
		Expect(response.StatusCode).To(Equal(http.StatusOK))
		response, _, a := send("GET", "/ready", "", "")
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(a.Code).To(Equal(result.NotReady))
		handler.ready = true
		response, _, _ = send("GET", "/ready", "", "")
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	})

	It("cancels the request of a caller that disconnects and keeps serving", func() {
		conn := dial()
		body := strings.Replace(validQuery, `"q"}`, `"wait"}`, 1)
		_, err := fmt.Fprintf(conn, "POST /v1/query HTTP/1.1\r\nHost: x\r\n%sContent-Length: %d\r\n\r\n%s", jsonType, len(body), body)
		Expect(err).NotTo(HaveOccurred())
		<-handler.started
		Expect(conn.Close()).To(Succeed())
		<-handler.cancelled
		_, _, a := send("POST", "/v1/query", jsonType, validQuery)
		Expect(a.Code).To(Equal(result.Complete))
	})

	It("refuses a body that is shorter than its Content-Length", func() {
		conn := dial()
		_, err := fmt.Fprintf(conn, "POST /v1/query HTTP/1.1\r\nHost: x\r\n%sContent-Length: 100\r\n\r\n{", jsonType)
		Expect(err).NotTo(HaveOccurred())
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		_, _, a := receive(conn)
		Expect(a.Code).To(Equal(result.BadJSON))
		Expect(handler.calls).To(BeZero())
	})

	Context("with a short body timeout", func() {
		BeforeEach(func() { options.BodyTimeout = 20 * time.Millisecond })
		It("refuses a caller that sends too slowly", func() {
			conn := dial()
			_, err := fmt.Fprintf(conn, "POST /v1/submit HTTP/1.1\r\nHost: x\r\n%sContent-Length: 100\r\n\r\n{", jsonType)
			Expect(err).NotTo(HaveOccurred())
			response, _, a := receive(conn)
			Expect(a.Code).To(Equal(result.BodyTimeout))
			Expect(response.StatusCode).To(Equal(http.StatusRequestTimeout))
			Expect(handler.calls).To(BeZero())
		})
	})

	Context("with a low limit on the answer's size", func() {
		BeforeEach(func() {
			options.MaxAnswerBytes = 1000
			handler.hits = 500
		})
		It("marks an answer whose hits it removed as truncated", func() {
			_, body, a := send("POST", "/v1/query", jsonType, validQuery)
			var full api.QueryAnswer
			Expect(json.Unmarshal(body, &full)).To(Succeed())
			Expect(a.Code).To(Equal(result.Truncated))
			Expect(a.Class).To(Equal("partial"))
			Expect(full.Truncated).To(BeTrue())
			Expect(len(full.Hits)).To(And(BeNumerically(">", 0), BeNumerically("<", 500)))
		})
	})
})

func BenchmarkDecodeQuery(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		var q api.QueryRequest
		if err := decode([]byte(validQuery), &q); err != nil {
			b.Fatal(err)
		}
	}
}

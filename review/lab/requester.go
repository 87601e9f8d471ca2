//go:build review

package lab

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Answer is what a requester got for one request.
type Answer struct {
	ID, Host string
	// Status is zero if the connection ended without an answer.
	Status  int
	SentAt  time.Time
	EndedAt time.Time
	RetryIn string
	Stamped bool
	Body    string
	Failure error
}

// Requester sends requests to hosts.
type Requester struct{ client *http.Client }

// NewRequester returns a requester that keeps its connections or opens one for each
// request.
func NewRequester(keep bool) *Requester {
	dialer := net.Dialer{Timeout: time.Second}
	return &Requester{client: &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: !keep, MaxIdleConnsPerHost: 64, DisableCompression: true, DialContext: dialer.DialContext, IdleConnTimeout: 10 * time.Second},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Post sends a request that must not be repeated. It is sent once.
func (q *Requester) Post(h *Host, httpHost, path, id, body string, limit time.Duration) Answer {
	return q.send(h, http.MethodPost, httpHost, path, id, strings.NewReader(body), limit)
}

// Get sends a request that may be repeated.
func (q *Requester) Get(h *Host, httpHost, path, id string, limit time.Duration) Answer {
	return q.send(h, http.MethodGet, httpHost, path, id, nil, limit)
}

func (q *Requester) send(h *Host, method, httpHost, path, id string, body io.Reader, limit time.Duration) Answer {
	a := Answer{ID: id, Host: h.Name, SentAt: time.Now()}
	req, err := http.NewRequest(method, "http://"+h.Caller+path, body)
	if err != nil {
		a.Failure = err
		return a
	}
	req.GetBody = nil // The transport must not send the request again.
	req.Host = httpHost
	req.Header.Set(Names.RequestID, id)
	req.Header.Set(Names.Deadline, fmt.Sprint(limit.Milliseconds()))
	req.Header.Set("Via-Host", h.Name)
	resp, err := q.client.Do(req)
	if err != nil {
		a.Failure, a.EndedAt = err, time.Now()
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.EndedAt = time.Now()
	if err != nil {
		a.Failure = err
		return a
	}
	a.Status, a.Body = resp.StatusCode, string(data)
	a.RetryIn = resp.Header.Get("Retry-After")
	a.Stamped = resp.Header.Get(Names.Stamp) != ""
	return a
}

// Close closes the kept connections.
func (q *Requester) Close() { q.client.CloseIdleConnections() }

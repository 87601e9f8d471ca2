package platform_test

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/platform"
	"github.com/gypsumlug/gypsumlug/internal/platformapi"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestPlatform(t *testing.T) { testsuite.RunSpecs(t, "platform") }

type callLog struct {
	mu    sync.Mutex
	codes []result.Code
}

func (l *callLog) record(_ string, code result.Code) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.codes = append(l.codes, code)
}

func serve(handler http.HandlerFunc) string {
	server := httptest.NewServer(handler)
	DeferCleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://")
}

func replyWith(status int, body []byte) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write(body)
	}
}

func torn(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	_, _ = w.Write([]byte("half"))
}

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

func codeOf(err error) result.Code {
	var typed *result.Error
	if err == nil || !errors.As(err, &typed) {
		return 0
	}
	return typed.Code
}

var _ = DescribeTable("replies of the platform",
	func(handler http.HandlerFunc, timeout time.Duration, want result.Code, size int) {
		log := &callLog{}
		client := platform.New(platform.Options{Addresses: []string{serve(handler)}, Timeout: timeout, OnCall: log.record})
		defer client.Close()
		data, err := client.Manifest(context.Background())
		Expect(codeOf(err)).To(Equal(want))
		Expect(data).To(HaveLen(size))
		Expect(log.codes).To(Equal([]result.Code{want}))
	},
	Entry("a value", replyWith(200, []byte("value")), time.Minute, result.Code(0), 5),
	Entry("the largest value", replyWith(200, bytes.Repeat([]byte("x"), config.MaxValueBytes)), time.Minute, result.Code(0), config.MaxValueBytes),
	Entry("a value over the limit", replyWith(200, bytes.Repeat([]byte("x"), config.MaxValueBytes+1)), time.Minute, result.DocumentTooLarge, 0),
	Entry("a server error", replyWith(503, nil), time.Minute, result.PlatformUnavailable, 0),
	Entry("a value that does not exist", replyWith(404, nil), time.Minute, result.PlatformUnavailable, 0),
	Entry("a torn value", http.HandlerFunc(torn), time.Minute, result.PlatformUnavailable, 0),
	Entry("no reply", http.HandlerFunc(hang), 50*time.Millisecond, result.PlatformUnavailable, 0),
)

var _ = It("sends the watch's parameters and returns nothing when none is newer", func() {
	var seen string
	address := serve(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Method + " " + r.URL.RequestURI()
		w.WriteHeader(http.StatusNoContent)
	})
	client := platform.New(platform.Options{Addresses: []string{address}, Timeout: time.Minute})
	data, err := client.Watch(context.Background(), 7, 1500*time.Millisecond)
	Expect(err).NotTo(HaveOccurred())
	Expect(data).To(BeNil())
	Expect(seen).To(Equal("GET /v1/watch?after=7&wait_ms=1500"))
})

var _ = It("moves to the next address and stays with the one that answers", func() {
	log := &callLog{}
	bad := serve(replyWith(500, nil))
	good := serve(replyWith(200, []byte(`{"hosts":[{"address":"10.0.0.1:7000","data_centre":"a","state":"leaving"}]}`)))
	client := platform.New(platform.Options{Addresses: []string{bad, good}, Timeout: time.Minute, OnCall: log.record})
	for range 2 {
		hosts, err := client.Hosts(context.Background())
		Expect(err).NotTo(HaveOccurred())
		Expect(hosts).To(Equal([]platformapi.HostEntry{{Address: "10.0.0.1:7000", DataCentre: "a", State: platformapi.HostLeaving}}))
	}
	Expect(log.codes).To(Equal([]result.Code{result.PlatformUnavailable, 0, 0}))
})

var _ = It("reports an unreadable host list and a missing address", func() {
	client := platform.New(platform.Options{Addresses: []string{serve(replyWith(200, []byte("{")))}, Timeout: time.Minute})
	_, err := client.Hosts(context.Background())
	Expect(codeOf(err)).To(Equal(result.PlatformUnavailable))
	_, err = platform.New(platform.Options{}).Document(context.Background(), "00")
	Expect(codeOf(err)).To(Equal(result.PlatformUnavailable))
})

var _ = It("reports calls by path without the hashes of documents", func() {
	address := serve(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("data")) })
	var paths []string
	client := platform.New(platform.Options{Addresses: []string{address}, OnCall: func(path string, _ result.Code) {
		paths = append(paths, path)
	}})
	for _, hash := range []string{"a1", "b2"} {
		_, err := client.Document(context.Background(), hash)
		Expect(err).NotTo(HaveOccurred())
	}
	Expect(paths).To(Equal([]string{platformapi.PathDocument, platformapi.PathDocument}))
})

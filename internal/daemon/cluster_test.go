package daemon_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/daemon"
	"github.com/gypsumlug/gypsumlug/internal/platformapi"
	"github.com/gypsumlug/gypsumlug/internal/settings"
	"github.com/gypsumlug/gypsumlug/internal/standin"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestDaemon(t *testing.T) { testsuite.RunSpecs(t, "daemon") }

// patience bounds the wait for what must come; no verdict depends on how soon.
const patience = 30 * time.Second

// cluster is a deployment of stand-ins with hosts in one process.
type cluster struct {
	*standin.Deployment
	hosts []*daemon.Daemon
}

func newCluster(hosts int, services ...standin.ServiceShape) *cluster {
	GinkgoHelper()
	d, err := standin.NewDeployment(standin.DeploymentOptions{Services: services, Seed: 1, RecordBodies: true})
	Expect(err).NotTo(HaveOccurred())
	c := &cluster{Deployment: d}
	DeferCleanup(c.close)
	for range hosts {
		c.startHost("127.0.0.1:0")
	}
	c.waitReady()
	return c
}

func (c *cluster) startHost(peerAddress string) *daemon.Daemon {
	GinkgoHelper()
	h, err := daemon.Start(settings.Settings{
		PeerAddress:   peerAddress,
		CallerAddress: "127.0.0.1:0",
		AdminAddress:  "127.0.0.1:0",
		DataCentre:    "dc1",
		Platform:      []string{"http://" + c.Platform.Address()},
	}, zerolog.New(GinkgoWriter))
	Expect(err).NotTo(HaveOccurred())
	c.hosts = append(c.hosts, h)
	c.publishHosts()
	return h
}

func (c *cluster) publishHosts() {
	var list []platformapi.HostEntry
	for _, h := range c.hosts {
		list = append(list, platformapi.HostEntry{Address: h.PeerAddress(), DataCentre: "dc1", State: platformapi.HostLive})
	}
	c.Platform.SetHosts(list)
}

func (c *cluster) waitReady() {
	GinkgoHelper()
	for _, h := range c.hosts {
		Eventually(func() bool { return h.Status().Ready }, patience, "10ms").Should(BeTrue())
	}
}

func (c *cluster) close() {
	for _, h := range c.hosts {
		h.Kill()
	}
	c.Deployment.Close()
}

// post sends a message to a path of a host's caller API and decodes the answer.
func post[T any](h *daemon.Daemon, path string, message any) T {
	GinkgoHelper()
	answer, err := tryPost[T](h, path, message)
	Expect(err).NotTo(HaveOccurred())
	return answer
}

func tryPost[T any](h *daemon.Daemon, path string, message any) (T, error) {
	var answer T
	body, err := json.Marshal(message)
	if err != nil {
		return answer, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.CallerAddress()+path, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return answer, err
	}
	return answer, json.Unmarshal(data, &answer)
}

func ask(h *daemon.Daemon, service, text string) api.QueryAnswer {
	GinkgoHelper()
	return post[api.QueryAnswer](h, api.PathQuery, api.QueryRequest{Service: service, Caller: standin.DefaultCaller, Query: text})
}

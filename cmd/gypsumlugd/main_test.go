package main

import (
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/onsi/gomega/gexec"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/standin"
	"github.com/gypsumlug/gypsumlug/internal/testsuite"
)

func TestDaemonProgram(t *testing.T) { testsuite.RunSpecs(t, "gypsumlugd") }

const testTimeout = 30 * time.Second

var binaryPath string

var _ = BeforeSuite(func() {
	binaryPath = filepath.Join(GinkgoT().TempDir(), "gypsumlugd")
	Expect(exec.Command("go", "build", "-o", binaryPath, ".").Run()).To(Succeed())
})

// freeAddress returns a loopback address that nothing listens on.
func freeAddress() string {
	GinkgoHelper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// host is a daemon that runs as a separate process.
type host struct {
	*gexec.Session
	callerAddress string
}

// startDaemon starts a daemon and waits until it is ready. It retries with other ports if
// another program has taken one of them in the meantime.
func startDaemon(d *standin.Deployment, balancerLagMS int) *host {
	GinkgoHelper()
	var h *host
	Eventually(func() bool {
		if h == nil || h.ExitCode() >= 0 {
			h = startProcess(d, balancerLagMS)
		}
		return h.readinessStatus() == http.StatusOK
	}, testTimeout, "20ms").Should(BeTrue())
	return h
}

// startProcess starts a daemon on free ports, without waiting.
func startProcess(d *standin.Deployment, balancerLagMS int) *host {
	GinkgoHelper()
	callerAddress := freeAddress()
	settings, err := json.Marshal(map[string]any{
		"peer_address": freeAddress(), "caller_address": callerAddress, "admin_address": freeAddress(),
		"data_centre": "dc1", "platform": []string{"http://" + d.Platform.Address()},
		"balancer_lag_ms": balancerLagMS, "start_wait_ms": 500,
	})
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(GinkgoT().TempDir(), "settings.json")
	Expect(os.WriteFile(file, settings, 0o600)).To(Succeed())
	session, err := gexec.Start(exec.Command(binaryPath, "run", "--settings", file), GinkgoWriter, GinkgoWriter)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() { session.Kill().Wait(testTimeout) })
	return &host{Session: session, callerAddress: callerAddress}
}

// readinessStatus returns the HTTP status of the host's readiness check, or zero if
// there was no response.
func (h *host) readinessStatus() int {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.callerAddress + api.PathReady)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func newDeployment() *standin.Deployment {
	GinkgoHelper()
	d, err := standin.NewDeployment(standin.DeploymentOptions{Services: []standin.ServiceShape{{Name: "search"}}, Seed: 1})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	return d
}

var _ = Describe("The daemon process", func() {
	It("exits with status 0 after one signal", func() {
		h := startDaemon(newDeployment(), 100)
		h.Terminate()
		Eventually(h, testTimeout).Should(gexec.Exit(0))
	})

	It("exits at once after a second signal", func() {
		const lagMS = 50_000
		h := startDaemon(newDeployment(), lagMS)
		h.Terminate()
		Eventually(h.readinessStatus, testTimeout, "20ms").Should(Equal(http.StatusServiceUnavailable))
		Consistently(h, "200ms").ShouldNot(gexec.Exit())
		h.Terminate()
		Eventually(h, testTimeout).Should(gexec.Exit(exitFailure)) // The balancer lag is longer than testTimeout.
	})

	It("is not ready right after its process was paused, because its view is stale, and becomes ready again", func() {
		h := startDaemon(newDeployment(), 100)
		h.Signal(syscall.SIGSTOP)
		time.Sleep(4 * time.Second)
		h.Signal(syscall.SIGCONT)
		Eventually(h.readinessStatus, testTimeout, "20ms").Should(Equal(http.StatusOK))
		// The log arrives through a pipe, possibly after the HTTP response.
		Eventually(func() string { return string(h.Err.Contents()) }, testTimeout).Should(ContainSubstring("ready=false reason=stale-belief"))
	})
})

//go:build review

package lab

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Paths from the root of the repository, where the scripts run.
const (
	program  = "target/gypsumlug-gateway"
	template = "deploy/host.hujson"
)

// Bounds are the bounds of the users' small sites.
const (
	GraceSeconds       = 6
	DrainTime          = 3 * time.Second
	StableWindow       = 4 * time.Second
	RetryBudgetRatio   = 0.2
	RetryBudgetSlack   = 129
	RetryWindowSeconds = 10
)

// SeedCount is the number of seeds.
const SeedCount = 3

// Host is an entry host, a process of the deploy file's program.
type Host struct {
	Name, Zone              string
	Caller, Readiness, Peer string
	internalFirst           int
	settings                string
	mu                      sync.Mutex
	process                 *exec.Cmd
	exited                  chan struct{}
	log                     *logBuffer
	// disturbed are the times from a kill or a planned stop to the next start; the end of
	// the last one is zero until then.
	disturbed []span
}

type span struct{ from, to time.Time }

// logBuffer holds what a host writes. It is safe for concurrent use.
type logBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// Ports that hosts listen on are chosen below those that the system gives to outgoing
// connections, so that a host that starts again finds its own free.
const firstPort, lastPort = 12000, 32000

// loopback is the loopback address of this process's hosts, so that scripts that run at
// the same time don't take each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.1", 1+rand.IntN(250), rand.IntN(250))

// FreeAddress returns a loopback address that is free for TCP and UDP.
func FreeAddress() (string, error) {
	for range 1000 {
		address := net.JoinHostPort(loopback, strconv.Itoa(firstPort+rand.IntN(lastPort-firstPort)))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = u.Close()
		return address, nil
	}
	return "", errors.New("no free address")
}

// NewHosts prepares hosts. The first ones are the seeds.
func NewHosts(dir, storeAddress string, zones []string) ([]*Host, error) {
	hosts := make([]*Host, len(zones))
	used := map[string]bool{}
	free := func() (string, error) {
		for {
			a, err := FreeAddress()
			if err != nil || !used[a] {
				used[a] = true
				return a, err
			}
		}
	}
	for i, zone := range zones {
		h := &Host{Name: fmt.Sprintf("edge-%s-%d", zone, i+1), Zone: zone, log: &logBuffer{}}
		for _, address := range []*string{&h.Caller, &h.Readiness, &h.Peer} {
			a, err := free()
			if err != nil {
				return nil, err
			}
			*address = a
		}
		metrics, err := free()
		if err != nil {
			return nil, err
		}
		_, port, _ := net.SplitHostPort(metrics)
		if h.internalFirst, err = strconv.Atoi(port); err != nil {
			return nil, err
		}
		hosts[i] = h
	}
	var seeds []string
	for _, h := range hosts[:min(len(hosts), SeedCount)] {
		seeds = append(seeds, h.Peer)
	}
	for _, h := range hosts {
		if err := h.writeSettings(dir, storeAddress, seeds); err != nil {
			return nil, err
		}
	}
	return hosts, nil
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.]+)\|json\}\}`)

// writeSettings fills in the template of the deploy file.
func (h *Host) writeSettings(dir, storeAddress string, seeds []string) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	values := map[string]any{
		"node_name": h.Name, "zone": h.Zone,
		"listen_addresses.frontend": h.Caller, "listen_addresses.readiness": h.Readiness, "listen_addresses.control_plane": h.Peer,
		"internal_port_range": []int{h.internalFirst, h.internalFirst}, "seeds": seeds, "platform.address": storeAddress,
		"limits.cpu_share": 0.272, "limits.memory_mb": 206, "bounds.grace_period_s": GraceSeconds,
		"bounds.retry_budget_ratio": RetryBudgetRatio, "bounds.retry_budget_slack": RetryBudgetSlack, "bounds.budget_window_s": RetryWindowSeconds,
	}
	filled := placeholder.ReplaceAllFunc(text, func(m []byte) []byte {
		value, err := json.Marshal(values[string(placeholder.FindSubmatch(m)[1])])
		if err != nil {
			panic(err)
		}
		return value
	})
	h.settings = filepath.Join(dir, h.Name+".hujson")
	return os.WriteFile(h.settings, filled, 0o600)
}

var (
	hostsMu sync.Mutex
	// hostsStarted holds every host of which a process was started. hostsEnded is set
	// once no more may be started.
	hostsStarted = map[*Host]bool{}
	hostsEnded   bool
)

// endHosts kills all hosts.
func endHosts() {
	hostsMu.Lock()
	defer hostsMu.Unlock()
	hostsEnded = true
	for h := range hostsStarted {
		h.Kill()
	}
}

// Start starts the process.
func (h *Host) Start() error {
	hostsMu.Lock()
	defer hostsMu.Unlock()
	if hostsEnded {
		return errors.New("the case has ended")
	}
	hostsStarted[h] = true
	cmd := exec.Command(program, "run")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GYPSUMLUG_SETTINGS=" + h.settings}
	cmd.Stdout, cmd.Stderr = h.log, h.log
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	h.mu.Lock()
	h.process, h.exited = cmd, exited
	if n := len(h.disturbed); n > 0 {
		h.disturbed[n-1].to = time.Now()
	}
	h.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(s syscall.Signal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.process != nil {
		_ = h.process.Process.Signal(s)
	}
}

// Kill kills the process and waits for its end.
func (h *Host) Kill() {
	h.beginDisturbance()
	h.Signal(syscall.SIGKILL)
	h.awaitExit(time.Minute)
}

// Restart stops the process as planned work does, waits for its end, and starts it again
// after a short delay.
func (h *Host) Restart(delay time.Duration) error {
	h.beginDisturbance()
	h.Signal(syscall.SIGTERM)
	if !h.awaitExit(GraceSeconds * time.Second) {
		h.Signal(syscall.SIGKILL)
		h.awaitExit(time.Minute)
	}
	time.Sleep(delay)
	return h.Start()
}

func (h *Host) beginDisturbance() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.disturbed = append(h.disturbed, span{from: time.Now()})
}

// awaitExit reports whether the process ends within a time.
func (h *Host) awaitExit(timeout time.Duration) bool {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	if exited == nil {
		return true
	}
	select {
	case <-exited:
		return true
	case <-time.After(timeout):
		return false
	}
}

// InTouch reports whether the process ran undisturbed for StableWindow before a moment.
func (h *Host) InTouch(at time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, d := range h.disturbed {
		if at.After(d.from) && (d.to.IsZero() || at.Before(d.to.Add(StableWindow))) {
			return false
		}
	}
	return true
}

// Log returns what all processes of the host have written.
func (h *Host) Log() string { return h.log.String() }

// LastStoreRead returns the time of the last log line that tells of news that the host
// itself read from the store, or zero.
func (h *Host) LastStoreRead() time.Time {
	lines := strings.Split(h.Log(), "\n")
	for i := len(lines) - 1; i >= 0; i-- {
		if strings.Contains(lines[i], "source=store") {
			text, _, _ := strings.Cut(strings.TrimPrefix(lines[i], "time="), " ")
			at, _ := time.Parse(time.RFC3339Nano, text)
			return at
		}
	}
	return time.Time{}
}

// Ready reports whether the host answers that it is ready.
func (h *Host) Ready() bool {
	conn, err := net.DialTimeout("tcp", h.Readiness, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprintf(conn, "GET /api/ready HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n", h.Readiness)
	head := make([]byte, 16)
	n, _ := conn.Read(head)
	return strings.HasPrefix(string(head[:n]), "HTTP/1.1 200")
}

// AwaitReady waits until all hosts are ready.
func AwaitReady(hosts []*Host, timeout time.Duration) error {
	for end := time.Now().Add(timeout); ; time.Sleep(50 * time.Millisecond) {
		var unready *Host
		for _, h := range hosts {
			if !h.Ready() {
				unready = h
			}
		}
		if unready == nil {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%s is not ready; its log: %s", unready.Name, unready.Log())
		}
	}
}

package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gypsumlug/gypsumlug/internal/daemon"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/settings"
	"github.com/gypsumlug/gypsumlug/internal/standin"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
)

const (
	readyTimeout     = 20 * time.Second
	readyInterval    = 20 * time.Millisecond
	stopTimeout      = 10 * time.Second
	loopbackFreePort = "127.0.0.1:0"
	startAttempts    = 5
	// maxSeeds is the highest number of hosts whose peer addresses the settings of
	// every host list.
	maxSeeds    = 3
	metricsPath = "/metrics"
	// metricsTimeout limits the time to read one host's metrics.
	metricsTimeout = 2 * time.Second
	// maxMetricsBytes limits the size of one host's metrics.
	maxMetricsBytes = 16 << 20
)

// embeddedHosts are daemons that run in this process.
type embeddedHosts struct {
	daemons        []*daemon.Daemon
	adminAddresses []string
}

// HostOptions describes embedded hosts.
type HostOptions struct {
	// Platform is the IP and port of the platform.
	Platform string
	// DataCentres are assigned to the hosts in rotation.
	DataCentres []string
	Hosts       int
}

// StartHosts starts daemons on loopback that read their configuration from the
// deployment's platform, and waits until all are ready. It is a [StartFleet].
func StartHosts(ctx context.Context, d *standin.Deployment, o Options) (*Fleet, error) {
	return StartHostsOnPlatform(ctx, HostOptions{
		Platform:    d.Platform.Address(),
		DataCentres: workloads[o.Deployment].dataCentres,
		Hosts:       o.Hosts,
	})
}

// StartHostsOnPlatform starts daemons on loopback that read their configuration
// from the platform at o.Platform, and waits until all are ready. If another
// process has taken one of the addresses that were found free, it stops the
// daemons and retries with new addresses.
func StartHostsOnPlatform(ctx context.Context, o HostOptions) (*Fleet, error) {
	return startWithRetry(ctx, o.newSettings)
}

// startWithRetry starts hosts with the settings that newSettings returns. While one
// of their addresses is in use, it retries with other settings, up to
// startAttempts times in all.
func startWithRetry(ctx context.Context, newSettings func() ([]settings.Settings, error)) (*Fleet, error) {
	var fleet *Fleet
	var err error
	for range startAttempts {
		var all []settings.Settings
		if all, err = newSettings(); err != nil {
			return nil, err
		}
		fleet, err = startAll(ctx, all)
		if !errors.Is(err, syscall.EADDRINUSE) {
			break
		}
	}
	return fleet, err
}

// startAll starts one host for each of the settings, and stops all if one fails.
func startAll(ctx context.Context, all []settings.Settings) (*Fleet, error) {
	h := &embeddedHosts{}
	fleet, err := h.startDaemons(ctx, all)
	if err != nil {
		h.stop()
		return nil, err
	}
	for _, d := range h.daemons {
		fleet.Addresses = append(fleet.Addresses, d.CallerAddress())
	}
	return fleet, nil
}

// startDaemons starts one daemon for each of the settings and waits until all are
// ready. The fleet that it returns has no Addresses yet.
func (h *embeddedHosts) startDaemons(ctx context.Context, all []settings.Settings) (*Fleet, error) {
	fleet := &Fleet{Close: h.stop, ReadCounters: h.readCounters}
	for _, s := range all {
		if err := h.startDaemon(s); err != nil {
			return nil, err
		}
		target, err := newHostTarget(h.daemons[len(h.daemons)-1].CallerAddress())
		if err != nil {
			return nil, err
		}
		fleet.Targets = append(fleet.Targets, target)
	}
	return fleet, h.awaitReady(ctx)
}

func (h *embeddedHosts) startDaemon(s settings.Settings) error {
	host, err := daemon.Start(s, telemetry.NewLogger(io.Discard, s.LogLevel))
	if err != nil {
		return err
	}
	h.daemons = append(h.daemons, host)
	h.adminAddresses = append(h.adminAddresses, s.AdminAddress)
	return nil
}

// stop stops all daemons concurrently. It waits for at most stopTimeout, so that a
// run ends even if a host hangs.
func (h *embeddedHosts) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, d := range h.daemons {
		// A host that cannot finish its work in time does not affect the
		// measurements, which are complete by now.
		wg.Go(func() { _ = d.Stop(ctx) })
	}
	stopped := make(chan struct{})
	go func() {
		wg.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-ctx.Done():
	}
}

// awaitReady waits until all hosts are ready, for at most readyTimeout.
func (h *embeddedHosts) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range h.daemons {
		for !d.Status().Ready {
			sleepContext(ctx, readyInterval)
			if ctx.Err() != nil {
				return result.Errorf(result.NotReady, "host %s is not ready after %s", d.CallerAddress(), readyTimeout)
			}
		}
	}
	return nil
}

// newSettings returns the settings of all hosts, with addresses that are free now,
// the same seed peers for all, and the data centres in rotation.
func (o HostOptions) newSettings() ([]settings.Settings, error) {
	out := make([]settings.Settings, o.Hosts)
	for i := range out {
		addresses, err := freeAddresses(2)
		if err != nil {
			return nil, err
		}
		out[i] = settings.Settings{
			PeerAddress:   addresses[0],
			CallerAddress: loopbackFreePort,
			AdminAddress:  addresses[1],
			DataCentre:    o.DataCentres[i%len(o.DataCentres)],
			Platform:      []string{"http://" + o.Platform},
			LogLevel:      "error",
			StopTimeoutMS: int(stopTimeout.Milliseconds()),
			StartWaitMS:   settings.DefaultStartWaitMS,
		}
	}
	for i := range out {
		out[i].Peers = seedPeers(out)
	}
	return out, nil
}

// seedPeers returns the peer addresses that every host contacts at its start.
func seedPeers(all []settings.Settings) []string {
	var out []string
	for _, s := range all[:min(maxSeeds, len(all))] {
		out = append(out, s.PeerAddress)
	}
	return out
}

// freeAddresses returns n loopback addresses that no process listens on now.
// Another process may take them before they are used.
func freeAddresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		l, err := net.Listen("tcp", loopbackFreePort)
		if err != nil {
			return nil, eris.Wrap(err, "no free address")
		}
		defer func() { _ = l.Close() }()
		out[i] = l.Addr().String()
	}
	return out, nil
}

// readCounters returns the hosts' counters by name and labels, summed over all
// hosts.
func (h *embeddedHosts) readCounters(ctx context.Context) (map[string]float64, error) {
	sum := make(map[string]float64)
	for _, address := range h.adminAddresses {
		if err := addCounters(ctx, address, sum); err != nil {
			return nil, err
		}
	}
	return sum, nil
}

// addCounters adds the counters of the host with the given admin address to sum.
func addCounters(ctx context.Context, address string, sum map[string]float64) error {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+metricsPath, http.NoBody)
	if err != nil {
		return eris.Wrap(err, "metrics request cannot be made")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return eris.Wrap(err, "metrics cannot be read")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("metrics cannot be read: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxMetricsBytes))
	if err != nil {
		return eris.Wrap(err, "metrics cannot be read")
	}
	for _, line := range strings.Split(string(body), "\n") {
		addCounter(line, sum)
	}
	return nil
}

// counterPattern matches a line with a counter of gypsumlug in the Prometheus text
// format.
var counterPattern = regexp.MustCompile(`^(gypsumlug_\w+_total(?:\{.*\})?) (\S+)$`)

// addCounter adds the counter in a line to sum. It ignores all other lines.
func addCounter(line string, sum map[string]float64) {
	match := counterPattern.FindStringSubmatch(line)
	if match == nil {
		return
	}
	if value, err := strconv.ParseFloat(match[2], 64); err == nil {
		sum[match[1]] += value
	}
}

package load

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gypsumlug/gypsumlug/client"
	"github.com/gypsumlug/gypsumlug/internal/daemon"
	"github.com/gypsumlug/gypsumlug/internal/platformapi"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/settings"
	"github.com/gypsumlug/gypsumlug/internal/standin"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
)

const (
	readyTimeout  = 20 * time.Second
	readyInterval = 20 * time.Millisecond
	stopTimeout   = 10 * time.Second
	loopbackAny   = "127.0.0.1:0"
	metricsPath   = "/metrics"
	// maxMetricsBytes bounds what is read of a host's metrics.
	maxMetricsBytes = 16 << 20
)

// hosts are the daemons of an embedded run.
type hosts struct {
	daemons []*daemon.Daemon
	admin   []string
}

// StartHosts starts daemons on loopback that read the deployment's platform, and
// waits until all are ready.
func StartHosts(ctx context.Context, d *standin.Deployment, o Options) (*Fleet, error) {
	all, err := hostSettings(d, o)
	if err != nil {
		return nil, err
	}
	listHosts(d, all)
	h := &hosts{}
	fleet := &Fleet{Close: h.stop, Reasons: h.reasons}
	for _, s := range all {
		if err := h.start(s); err != nil {
			h.stop()
			return nil, err
		}
		target, err := newHostTarget(h.daemons[len(h.daemons)-1].CallerAddress())
		if err != nil {
			h.stop()
			return nil, err
		}
		fleet.Targets = append(fleet.Targets, target)
	}
	if err := h.awaitReady(ctx); err != nil {
		h.stop()
		return nil, err
	}
	return fleet, nil
}

func (h *hosts) start(s settings.Settings) error {
	host, err := daemon.Start(s, telemetry.NewLogger(io.Discard, s.LogLevel))
	if err != nil {
		return err
	}
	h.daemons = append(h.daemons, host)
	h.admin = append(h.admin, s.AdminAddress)
	return nil
}

func (h *hosts) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, d := range h.daemons {
		// What a host leaves unfinished at the end of a run is not measured.
		_ = d.Stop(ctx)
	}
}

func (h *hosts) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, d := range h.daemons {
		c, err := client.New([]string{d.CallerAddress()}, client.Options{})
		if err != nil {
			return err
		}
		for {
			status, err := c.Status(ctx, d.CallerAddress())
			if err == nil && status.Ready {
				break
			}
			pause(ctx, readyInterval)
			if ctx.Err() != nil {
				return result.Errorf(result.NotReady, "host %s is not ready after %s", d.CallerAddress(), readyTimeout)
			}
		}
		c.Close()
	}
	return nil
}

// hostSettings gives every host its addresses and, in turn, a data centre.
func hostSettings(d *standin.Deployment, o Options) ([]settings.Settings, error) {
	dataCentres := workloads[o.Deployment].dataCentres
	out := make([]settings.Settings, o.Hosts)
	for i := range out {
		ports, err := freeAddresses(2)
		if err != nil {
			return nil, err
		}
		out[i] = settings.Settings{
			PeerAddress:   ports[0],
			CallerAddress: loopbackAny,
			AdminAddress:  ports[1],
			DataCentre:    dataCentres[i%len(dataCentres)],
			Platform:      []string{"http://" + d.Platform.Address()},
			LogLevel:      "error",
			StopTimeoutMS: int(stopTimeout.Milliseconds()),
			StartWaitMS:   settings.DefaultStartWaitMS,
		}
	}
	return out, nil
}

func listHosts(d *standin.Deployment, all []settings.Settings) {
	entries := make([]platformapi.HostEntry, len(all))
	for i, s := range all {
		entries[i] = platformapi.HostEntry{Address: s.PeerAddress, DataCentre: s.DataCentre, State: platformapi.HostLive}
	}
	d.Platform.SetHosts(entries)
}

// freeAddresses returns loopback addresses that nothing listens on now.
func freeAddresses(n int) ([]string, error) {
	out := make([]string, n)
	for i := range out {
		l, err := net.Listen("tcp", loopbackAny)
		if err != nil {
			return nil, eris.Wrap(err, "no free address")
		}
		defer func() { _ = l.Close() }()
		out[i] = l.Addr().String()
	}
	return out, nil
}

// reasons returns the sum over all hosts of their counters.
func (h *hosts) reasons(ctx context.Context) (map[string]float64, error) {
	sum := make(map[string]float64)
	for _, address := range h.admin {
		if err := addCounters(ctx, address, sum); err != nil {
			return nil, err
		}
	}
	return sum, nil
}

func addCounters(ctx context.Context, address string, sum map[string]float64) error {
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

// counterLine is a counter of the project in Prometheus text format.
var counterLine = regexp.MustCompile(`^(gypsumlug_\w+_total(?:\{.*\})?) (\S+)$`)

func addCounter(line string, sum map[string]float64) {
	match := counterLine.FindStringSubmatch(line)
	if match == nil {
		return
	}
	if value, err := strconv.ParseFloat(match[2], 64); err == nil {
		sum[match[1]] += value
	}
}

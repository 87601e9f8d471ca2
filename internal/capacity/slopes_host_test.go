package capacity_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/load"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

// The benchmarks of this file print the slopes that the capacity table is made
// of. Endpoints run in a process of their own, so that the processor time of
// this process is that of the hosts.

// standInsVariable makes the test binary run the stand-ins of a shape.
const standInsVariable = "GYPSUMLUG_BENCHMARK_STANDINS"

func TestMain(m *testing.M) {
	if shape := os.Getenv(standInsVariable); shape != "" {
		serveStandIns(shape)
		return
	}
	if platform := os.Getenv(idleVariable); platform != "" {
		serveIdle(platform)
		return
	}
	os.Exit(m.Run())
}

const (
	benchmarkService    = "bench"
	benchmarkDataCentre = "dc1"
)

// shapes are services of 120 shards whose endpoints are reached directly or, as
// there are many hosts for a slot, through relays.
var shapes = map[string]standin.ServiceShape{
	"direct":  benchmarkShape(64),
	"relayed": benchmarkShape(1),
}

func benchmarkShape(slots int) standin.ServiceShape {
	return standin.ServiceShape{
		Name: benchmarkService, Shards: 120, Replicas: 2, ShardsPerEndpoint: 10, Slots: slots, SlotWait: 10 * time.Second,
		MaxConnections: 500, DeadlineMS: 10_000, LatencyTargetMS: 10_000,
	}
}

// serveStandIns prints the platform's address and serves until standard input
// ends.
func serveStandIns(shape string) {
	d, err := standin.NewDeployment(standin.DeploymentOptions{
		Services:    []standin.ServiceShape{shapes[shape]},
		DataCentres: []string{benchmarkDataCentre},
	})
	if err != nil {
		panic(err)
	}
	defer d.Close()
	fmt.Println(d.Platform.Address())
	if _, err := io.Copy(io.Discard, os.Stdin); err != nil {
		panic(err)
	}
}

// standIns is the process of the stand-ins.
type standIns struct {
	platform string
}

func startStandIns(b *testing.B, shape string) *standIns {
	b.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), standInsVariable+"="+shape)
	input, err := command.StdinPipe()
	check(b, err)
	output, err := command.StdoutPipe()
	check(b, err)
	check(b, command.Start())
	b.Cleanup(func() {
		_ = input.Close()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(output).ReadString('\n')
	check(b, err)
	return &standIns{platform: strings.TrimSpace(line)}
}

func check(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

const (
	benchmarkCallers = 8
	batchQueries     = 64
)

// BenchmarkSlopeHost measures the processor time of hosts for each sub-request:
// one host that sends to the endpoints itself, and four that use relays.
func BenchmarkSlopeHost(b *testing.B) {
	for _, c := range []struct {
		shape string
		hosts int
	}{{"direct", 1}, {"relayed", 4}} {
		b.Run(c.shape, func(b *testing.B) { benchmarkHosts(b, c.shape, c.hosts) })
	}
}

func benchmarkHosts(b *testing.B, shape string, hosts int) {
	ends := startStandIns(b, shape)
	fleet, err := load.StartHostsOnPlatform(context.Background(), load.HostOptions{
		Platform:    ends.platform,
		DataCentres: []string{benchmarkDataCentre},
		Hosts:       hosts,
	})
	check(b, err)
	defer fleet.Close()
	runBatch(b, fleet)
	began := processorTime()
	var shards int64
	for b.Loop() {
		shards += runBatch(b, fleet)
	}
	b.ReportMetric(float64((processorTime()-began).Microseconds())/math.Max(float64(shards), 1), "cpu-us/subrequest")
}

// runBatch runs queries on all hosts and returns the shards that answered.
func runBatch(b *testing.B, fleet *load.Fleet) int64 {
	b.Helper()
	var group sync.WaitGroup
	var shards, number atomic.Int64
	for range benchmarkCallers {
		group.Go(func() {
			for n := number.Add(1); n <= batchQueries; n = number.Add(1) {
				shards.Add(runQuery(b, fleet, int(n)))
			}
		})
	}
	group.Wait()
	if shards.Load() == 0 {
		b.Fatal("no query was answered")
	}
	return shards.Load()
}

func runQuery(b *testing.B, fleet *load.Fleet, number int) int64 {
	answer, err := fleet.Targets[number%len(fleet.Targets)].Query(context.Background(), &api.QueryRequest{
		Service: benchmarkService, Caller: standin.DefaultCaller, Query: "slope",
	})
	if err != nil || answer.Code != result.Complete {
		b.Errorf("got %v, %v, want a complete answer", answer, err)
		return 0
	}
	return int64(answer.Coverage.Covered)
}

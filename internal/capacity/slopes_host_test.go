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

// The benchmarks of this package print the slopes for the capacity table, except
// those of the simulated fleet. Endpoints that hosts send requests to run in a
// separate process, so that the CPU time of this process is that of the hosts.

// standInsEnv is the environment variable that makes the test binary run the
// stand-in endpoints of a shape instead of the tests.
const standInsEnv = "GYPSUMLUG_BENCHMARK_STANDINS"

func TestMain(m *testing.M) {
	if shape := os.Getenv(standInsEnv); shape != "" {
		serveStandIns(shape)
		return
	}
	if platform := os.Getenv(idleHostEnv); platform != "" {
		runIdleHost(platform)
		return
	}
	os.Exit(m.Run())
}

const (
	benchmarkService    = "bench"
	benchmarkDataCentre = "dc1"
)

// shapes are services of 120 shards. Hosts reach the endpoints of "direct"
// directly. They use relays for those of "relayed", which have fewer slots than
// there are hosts.
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

// serveStandIns runs a stand-in platform and endpoints. It prints the address of
// the platform and serves until standard input is closed.
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

// standInProcess is a process that runs the stand-in platform and endpoints.
type standInProcess struct {
	platformAddress string
}

func startStandIns(b *testing.B, shape string) *standInProcess {
	b.Helper()
	command := exec.Command(os.Args[0])
	command.Env = append(os.Environ(), standInsEnv+"="+shape)
	input, err := command.StdinPipe()
	failOnError(b, err)
	output, err := command.StdoutPipe()
	failOnError(b, err)
	failOnError(b, command.Start())
	b.Cleanup(func() {
		_ = input.Close()
		_ = command.Wait()
	})
	line, err := bufio.NewReader(output).ReadString('\n')
	failOnError(b, err)
	return &standInProcess{platformAddress: strings.TrimSpace(line)}
}

func failOnError(b *testing.B, err error) {
	b.Helper()
	if err != nil {
		b.Fatal(err)
	}
}

// cpuTime returns the user and system CPU time of this process.
func cpuTime() time.Duration {
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

// BenchmarkSlopeHost measures the CPU time of hosts per sub-request, for one host
// that connects to the endpoints directly and for four hosts that use relays.
func BenchmarkSlopeHost(b *testing.B) {
	for _, c := range []struct {
		shape string
		hosts int
	}{{"direct", 1}, {"relayed", 4}} {
		b.Run(c.shape, func(b *testing.B) { measureCPUTime(b, c.shape, c.hosts) })
	}
}

func measureCPUTime(b *testing.B, shape string, hosts int) {
	standIns := startStandIns(b, shape)
	fleet, err := load.StartHostsOnPlatform(context.Background(), load.HostOptions{
		Platform:    standIns.platformAddress,
		DataCentres: []string{benchmarkDataCentre},
		Hosts:       hosts,
	})
	failOnError(b, err)
	defer fleet.Close()
	runBatch(b, fleet)
	start := cpuTime()
	var shards int64
	for b.Loop() {
		shards += runBatch(b, fleet)
	}
	b.ReportMetric(float64((cpuTime()-start).Microseconds())/math.Max(float64(shards), 1), "cpu-us/subrequest")
}

// runBatch runs a batch of queries on all hosts and returns the total number of
// shards that the answers cover.
func runBatch(b *testing.B, fleet *load.Fleet) int64 {
	b.Helper()
	var wg sync.WaitGroup
	var shards, queries atomic.Int64
	for range benchmarkCallers {
		wg.Go(func() {
			for number := queries.Add(1); number <= batchQueries; number = queries.Add(1) {
				shards.Add(runQuery(b, fleet, int(number)))
			}
		})
	}
	wg.Wait()
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

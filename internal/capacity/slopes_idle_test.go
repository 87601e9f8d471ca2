package capacity_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/gypsumlug/gypsumlug/internal/load"
)

// idleHostEnv is the environment variable that makes the test binary run one host
// with the platform at the given address, and print its resident memory.
const idleHostEnv = "GYPSUMLUG_BENCHMARK_IDLE"

// BenchmarkSlopeIdle measures the resident memory of a host that is ready and
// idle, in a separate process. That process runs the test binary, which is
// slightly larger than the daemon.
func BenchmarkSlopeIdle(b *testing.B) {
	standIns := startStandIns(b, "direct")
	for b.Loop() {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), idleHostEnv+"="+standIns.platformAddress)
		output, err := command.Output()
		failOnError(b, err)
		var kib float64
		_, err = fmt.Sscan(string(output), &kib)
		failOnError(b, err)
		b.ReportMetric(kib/1024, "MiB/host")
	}
}

// runIdleHost starts a host, waits until it is ready and prints the resident
// memory of this process in KiB.
func runIdleHost(platform string) {
	fleet, err := load.StartHostsOnPlatform(context.Background(), load.HostOptions{
		Platform:    platform,
		DataCentres: []string{benchmarkDataCentre},
		Hosts:       1,
	})
	if err != nil {
		panic(err)
	}
	fmt.Println(residentKiB())
	_ = fleet
}

// residentKiB returns the resident memory of this process in KiB.
func residentKiB() string {
	file, err := os.Open("/proc/self/status")
	if err != nil {
		panic(err)
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		if fields := strings.Fields(scanner.Text()); len(fields) > 1 && fields[0] == "VmRSS:" {
			return fields[1]
		}
	}
	panic(io.ErrUnexpectedEOF)
}

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

// idleVariable makes the test binary run one host that reads the platform at the
// given address, and print its resident memory.
const idleVariable = "GYPSUMLUG_BENCHMARK_IDLE"

// BenchmarkSlopeIdle measures the resident memory of a host that is ready and
// idle, in a process of its own. The test binary is a little larger than the
// daemon.
func BenchmarkSlopeIdle(b *testing.B) {
	ends := startStandIns(b, "direct")
	for b.Loop() {
		command := exec.Command(os.Args[0])
		command.Env = append(os.Environ(), idleVariable+"="+ends.platform)
		output, err := command.Output()
		check(b, err)
		var kib float64
		_, err = fmt.Sscan(string(output), &kib)
		check(b, err)
		b.ReportMetric(kib/1024, "MiB/host")
	}
}

func serveIdle(platform string) {
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

// residentKiB returns the resident memory of this process.
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

package endpointhttp

import (
	"bufio"
	"fmt"
	"net"
	"net/textproto"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
)

// benchServerEnv makes the test binary run as the server of the benchmark. The
// server has its own process so that only the client's CPU time is measured.
const benchServerEnv = "GYPSUMLUG_BENCH_ENDPOINT"

func TestMain(m *testing.M) {
	if os.Getenv(benchServerEnv) != "" {
		serveBench()
		return
	}
	os.Exit(m.Run())
}

// BenchmarkAttempt measures one attempt over the loopback interface. cpu-ns/op is
// the CPU time of the client process, in user and kernel mode.
func BenchmarkAttempt(b *testing.B) {
	address := startBenchServer(b)
	for _, concurrency := range []int{1, 16} {
		b.Run(fmt.Sprintf("concurrent=%d", concurrency), func(b *testing.B) { benchAttempts(b, address, concurrency) })
	}
}

func benchAttempts(b *testing.B, address string, concurrency int) {
	c := New(Options{})
	defer c.Close()
	c.SetTarget(Target{Endpoint: "e", Address: address, Warm: concurrency, Max: concurrency})
	replies := make(chan dispatch.Outcome, concurrency)
	sendAttempt := func(i int) {
		c.Send(benchRequest(i), func(r dispatch.Reply) { replies <- r.Outcome })
	}
	for i := range concurrency {
		sendAttempt(-i - 1)
	}
	b.ReportAllocs()
	b.ResetTimer()
	cpuBefore := cpuTime()
	for i := range b.N {
		if outcome := <-replies; outcome != dispatch.OK {
			b.Fatalf("outcome %d", outcome)
		}
		sendAttempt(i)
	}
	b.ReportMetric(float64(cpuTime()-cpuBefore)/float64(b.N), "cpu-ns/op")
	for range concurrency {
		<-replies
	}
}

func benchRequest(i int) dispatch.Request {
	return dispatch.Request{
		Key: dispatch.Key{Request: "host-1/0123456789abcdef/" + strconv.Itoa(i), Attempt: 1}, Service: "dispatch-desk-01",
		Endpoint: "e", Snapshot: 7, Range: keyrange.All(), Body: "gel-pack refill 40 g", Limit: 10, Budget: 10 * time.Second,
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func startBenchServer(b *testing.B) string {
	b.Helper()
	server := exec.Command(os.Args[0]) //nolint:gosec // the test binary itself
	server.Env = append(os.Environ(), benchServerEnv+"=1")
	stdin, err := server.StdinPipe()
	if err != nil {
		b.Fatal(err)
	}
	stdout, err := server.StdoutPipe()
	if err != nil {
		b.Fatal(err)
	}
	if err := server.Start(); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() {
		_ = stdin.Close()
		_ = server.Wait()
	})
	address, err := bufio.NewReader(stdout).ReadString('\n')
	if err != nil {
		b.Fatal(err)
	}
	return strings.TrimSpace(address)
}

// serveBench prints its address and serves until standard input is closed.
func serveBench() {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	fmt.Println(l.Addr())
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serveBenchConn(c)
		}
	}()
	_, _ = os.Stdin.Read(make([]byte, 1))
}

// serveBenchConn replies to each request with ten hits.
func serveBenchConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := textproto.NewReader(bufio.NewReader(c))
	hits := strings.Repeat(`,{"document":"transcript-000017","key":123456,"score":0.5}`, 10)[1:]
	for {
		if _, err := r.ReadLine(); err != nil {
			return
		}
		head, err := r.ReadMIMEHeader()
		if err != nil {
			return
		}
		length, _ := strconv.Atoi(head.Get("Content-Length"))
		body := make([]byte, length)
		for read := 0; read < length; {
			n, err := r.R.Read(body[read:])
			if err != nil {
				return
			}
			read += n
		}
		_, id, _ := strings.Cut(string(body), `"id":"`)
		id, _, _ = strings.Cut(id, `"`)
		reply := fmt.Sprintf(`{"id":%q,"snapshot":7,"hits":[%s],"service_us":100,"load":{"in_flight":1,"slots":2}}`, id, hits)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(reply), reply)
	}
}

// Command gypsumlug-gateway is the daemon of an entry host on the users' platform. It
// links only the packages that it needs to serve, because that platform charges for
// memory.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/gypsumlug/gypsumlug/internal/entryhost"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
	"github.com/gypsumlug/gypsumlug/internal/version"
)

// Exit statuses of gypsumlug-gateway.
const (
	exitFailure = 1
	exitUsage   = 2
)

// logFlushTimeout bounds the time to write the remaining log lines at exit.
const logFlushTimeout = 100 * time.Millisecond

// gcPercent is lower than Go's default of 100: more frequent collections save memory at
// the cost of processor time, which is cheap on this platform.
const gcPercent = 40

// memoryShare is the fraction of the host's memory that is set as the memory limit of
// the Go runtime.
const memoryShare = 0.7

type cli struct {
	Settings string     `env:"GYPSUMLUG_SETTINGS" type:"path" help:"Path of the settings file."`
	LogLevel string     `default:"info" enum:"debug,info,warn,error" help:"Least level of log lines."`
	Run      runCmd     `cmd:"" default:"withargs" help:"Serve until SIGTERM or SIGINT."`
	Check    checkCmd   `cmd:"" help:"Check the settings file and exit."`
	Version  versionCmd `cmd:"" help:"Print the version."`
}

type (
	runCmd     struct{}
	checkCmd   struct{}
	versionCmd struct{}
)

// Run serves until the first signal, and then stops gracefully. A second signal exits at
// once.
func (runCmd) Run(c *cli) error {
	debug.SetGCPercent(gcPercent)
	s, err := entryhost.LoadSettings(c.Settings)
	if err != nil {
		return err
	}
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * (1 << 20)))
	}
	counters := telemetry.NewCounters()
	writer := telemetry.NewWriter(os.Stdout, counters.Counter(telemetry.LinesDropped))
	defer writer.Close(logFlushTimeout)
	host, err := entryhost.New(s, telemetry.NewLogger(writer, c.LogLevel), counters)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	signal.Ignore(syscall.SIGPIPE)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go host.WatchSettings(ctx, c.Settings, hangups)
	stop := make(chan struct{})
	go func() {
		<-signals
		close(stop)
		<-signals
		os.Exit(exitFailure)
	}()
	return host.Run(stop)
}

// Run checks the settings file.
func (checkCmd) Run(c *cli) error {
	_, err := entryhost.LoadSettings(c.Settings)
	return err
}

// Run prints the version.
func (versionCmd) Run() error {
	fmt.Println(version.String())
	return nil
}

func main() {
	var c cli
	parser := kong.Must(&c, kong.Name("gypsumlug-gateway"), kong.Description("Entry host daemon on the users' platform."), kong.UsageOnError())
	context, err := parser.Parse(os.Args[1:])
	if err != nil {
		exitWithError(err, exitUsage)
	}
	if err := context.Run(&c); err != nil {
		exitWithError(err, exitFailure)
	}
}

func exitWithError(err error, status int) {
	fmt.Fprintln(os.Stderr, "gypsumlug-gateway:", err)
	os.Exit(status)
}

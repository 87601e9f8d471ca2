package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/daemon"
	"github.com/gypsumlug/gypsumlug/internal/settings"
	"github.com/gypsumlug/gypsumlug/internal/telemetry"
)

type runCmd struct {
	Settings string `required:"" type:"existingfile" placeholder:"FILE" help:"Settings in JSON with comments."`
}

var errForcedStop = errors.New("a second signal stopped the host at once")

const (
	// gcPercent, lower than Go's default of 100, and memoryShare, the fraction of the memory
	// that is the limit of the Go runtime, apply if the settings name the memory.
	gcPercent   = 40
	memoryShare = 0.7
)

// Run starts the daemon and stops it gracefully on the first signal. On a second signal
// it returns errForcedStop at once.
func (c *runCmd) Run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
	}
	if s.MemoryMB > 0 {
		debug.SetGCPercent(gcPercent)
		debug.SetMemoryLimit(int64(float64(s.MemoryMB) * memoryShare * (1 << 20)))
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	log := telemetry.NewLogger(os.Stderr, s.LogLevel)
	d, err := daemon.Start(*s, log)
	if err != nil {
		return err
	}
	received := <-signals
	log.Info().Stringer("signal", received).Msg("stopping")
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(s.StopTimeoutMS)*time.Millisecond)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- d.Stop(ctx) }()
	select {
	case err := <-stopped:
		return err
	case <-signals:
		return errForcedStop
	}
}

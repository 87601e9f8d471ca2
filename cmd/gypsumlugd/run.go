package main

import (
	"context"
	"errors"
	"os"
	"os/signal"
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

// Run starts the daemon and stops it gracefully on the first signal. On a second signal
// it returns errForcedStop at once.
func (c *runCmd) Run() error {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return err
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

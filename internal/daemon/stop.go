package daemon

import (
	"context"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/coordinator"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/permit"
)

const (
	// idlePoll is how often a stopping host looks whether work is left.
	idlePoll = 10 * time.Millisecond
	// handoverTimeout bounds the handover of closed permits.
	handoverTimeout = 2 * time.Second
	// handoverBytes bounds one handover message.
	handoverBytes = 1 << 20
)

// Stop shuts the host down gracefully: it announces that it leaves, serves on
// until the balancer has noticed, takes no new requests, finishes those in
// flight and the relayed work of its peers, hands its closed permits over, and
// ends. It cuts what is left when ctx ends, and returns ctx's error then.
func (d *Daemon) Stop(ctx context.Context) error {
	d.control.leave(ctx)
	sleep(ctx, milliseconds(d.settings.BalancerLagMS))
	err := d.callers.server.Shutdown(ctx)
	d.coordinator.step(func(now time.Duration) coordinator.Actions { return d.coordinator.machine.Stop(now) })
	d.waitIdle(ctx)
	d.handOver(ctx)
	_ = d.peerServer.Shutdown(ctx)
	d.waitIdle(ctx) // Work that peers sent before they heard of the shutdown.
	d.Kill()
	if err == nil {
		err = ctx.Err()
	}
	d.log.Info().Err(err).Msg("host stopped")
	return err
}

// Kill ends the host at once and cuts what is in flight.
func (d *Daemon) Kill() {
	d.cancel()
	d.callers.close()
	d.admin.close()
	d.peerServer.Close()
	d.closeListeners()
	d.peers.Close()
	d.endpoints.Close()
	d.published.Close()
	d.running.Wait()
}

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// waitIdle waits until no request and no relayed attempt is in progress.
func (d *Daemon) waitIdle(ctx context.Context) {
	for ctx.Err() == nil && !(d.coordinator.idle() && d.relay.idle()) {
		sleep(ctx, idlePoll)
	}
}

// handOver gives the closed permits to their successors, so that repeated
// submits still learn their outcome. Without it they are answered as unknown.
func (d *Daemon) handOver(ctx context.Context) {
	var handovers []peerwire.Handover
	d.coordinator.read(func(time.Duration) { handovers = d.coordinator.machine.Handovers() })
	v := d.view.Load()
	addresses := make([]string, 0, len(v.Hosts))
	for i := range v.Hosts {
		addresses = append(addresses, v.Hosts[i].Incarnation.Address)
	}
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	for _, h := range handovers {
		for _, to := range permit.Successors(h.Issuer, addresses, permit.SuccessorCount) {
			if err := d.handOverTo(ctx, to, h); err != nil {
				d.log.Warn().Err(err).Str("to", to).Msg("permits not handed over")
			}
		}
	}
}

func (d *Daemon) handOverTo(ctx context.Context, to string, h peerwire.Handover) error {
	for _, batch := range permit.BatchHandovers(h.Issuer, h.Entries, handoverBytes) {
		var answer peerwire.HandoverAnswer
		if err := d.peers.Call(ctx, to, peerwire.KindHandover, batch, &answer); err != nil {
			return err
		}
	}
	return nil
}

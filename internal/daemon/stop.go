package daemon

import (
	"context"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/coordinator"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/permit"
)

const (
	// idlePollInterval is how often a stopping host checks whether work is left.
	idlePollInterval = 10 * time.Millisecond
	// handoverTimeout bounds the handover of all closed permits.
	handoverTimeout = 2 * time.Second
	// maxHandoverBytes bounds the size of one handover message.
	maxHandoverBytes = 1 << 20
)

// Stop shuts the host down gracefully: it announces that it is leaving, serves
// requests until the load balancer has noticed, accepts no further requests,
// finishes those in flight and the attempts that it relays for peers, hands over
// its closed permits, and ends. If ctx ends first, Stop aborts the remaining work
// and returns the error of ctx.
func (d *Daemon) Stop(ctx context.Context) error {
	d.control.announceLeaving(ctx)
	sleep(ctx, milliseconds(d.settings.BalancerLagMS))
	err := d.callerServer.server.Shutdown(ctx)
	d.coordinator.step(func(now time.Duration) coordinator.Actions { return d.coordinator.machine.Stop(now) })
	d.waitIdle(ctx)
	d.handOver(ctx)
	_ = d.peerServer.Shutdown(ctx)
	d.waitIdle(ctx) // Peers may have sent work before they learned of the shutdown.
	d.Kill()
	if err == nil {
		err = ctx.Err()
	}
	d.log.Info().Err(err).Msg("host stopped")
	return err
}

// Kill ends the host at once and aborts the requests in flight.
func (d *Daemon) Kill() {
	d.cancel()
	d.callerServer.close()
	d.adminServer.close()
	d.peerServer.Close()
	d.closeListeners()
	d.peers.Close()
	d.endpoints.Close()
	d.configStore.Close()
	d.goroutines.Wait()
}

func sleep(ctx context.Context, t time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(t):
	}
}

// waitIdle waits until no request and no relayed attempt is in progress, or until
// ctx ends.
func (d *Daemon) waitIdle(ctx context.Context) {
	for ctx.Err() == nil && !(d.coordinator.idle() && d.relay.idle()) {
		sleep(ctx, idlePollInterval)
	}
}

// handOver sends the closed permits to the issuer's successors, so that repeated
// submits still get their outcome. Without it they would be answered as unknown.
func (d *Daemon) handOver(ctx context.Context) {
	var handovers []peerwire.Handover
	d.coordinator.withLock(func(time.Duration) { handovers = d.coordinator.machine.Handovers() })
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
	for _, batch := range permit.BatchHandovers(h.Issuer, h.Entries, maxHandoverBytes) {
		var answer peerwire.HandoverAnswer
		if err := d.peers.Call(ctx, to, peerwire.KindHandover, batch, &answer); err != nil {
			return err
		}
	}
	return nil
}

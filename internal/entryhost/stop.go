package entryhost

import (
	"context"
	"net/http"
	"time"
)

const (
	// balancerDelay is the time until the load balancer notices that a host is not
	// ready: two readiness checks at an interval of 1 s, and a reserve.
	balancerDelay = 2500 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for the process exit.
	exitReserve = 500 * time.Millisecond
	// answerReserve is the part of the grace period, before exitReserve, in which
	// requests that are still running get their final answer.
	answerReserve = 300 * time.Millisecond
	// partCheckInterval is how often a host that stops looks whether parts of other hosts'
	// queries are in progress.
	partCheckInterval = 10 * time.Millisecond
)

// drain shuts the host down gracefully. It reports the host as not ready, continues to
// serve until the load balancer has noticed, closes the listener and waits for the
// requests in progress and for the parts of other hosts' queries.
func (h *Host) drain(server *http.Server) error {
	deadline := time.Now().Add(h.settings.Load().Grace() - exitReserve)
	h.stopping.Store(true)
	h.log.Info().Int("running", h.gateway.Running()).Msg("stopping")
	h.gateway.StopAt(h.now() + time.Until(deadline) - answerReserve)
	time.Sleep(min(balancerDelay, time.Until(deadline)/2))
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	stopTimer := time.AfterFunc(time.Until(deadline.Add(-answerReserve)), h.gateway.Stop)
	defer stopTimer.Stop()
	err := server.Shutdown(ctx)
	h.awaitParts(ctx)
	h.log.Info().Int("running", h.gateway.Running()).Int("parts", h.agent.PartsInProgress()).AnErr("error", err).Msg("stopped")
	return nil
}

// awaitParts waits until the parts of other hosts' queries have been answered, or until ctx
// ends. Hosts that have heard the announcement send no more of them.
func (h *Host) awaitParts(ctx context.Context) {
	ticker := time.NewTicker(partCheckInterval)
	defer ticker.Stop()
	for h.agent.PartsInProgress() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

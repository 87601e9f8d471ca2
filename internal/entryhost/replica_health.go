package entryhost

import (
	"context"
	"slices"
	"time"
)

// healthInterval is the time between two looks at the health of the replicas. It bounds the
// number of log lines about it.
const healthInterval = time.Second

// logReplicaHealth logs when data centres get out of reach or come back, and when replicas
// begin or cease to lose answers, until ctx ends.
func (h *Host) logReplicaHealth(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	var outOfReach []string
	lossy := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if now := h.gateway.OutOfReach(); !slices.Equal(now, outOfReach) {
			outOfReach = now
			h.log.Info().Str("event", eventBelief).Strs("data_centres", now).Msg("data centres out of reach")
		}
		if n := h.gateway.LossyReplicas(); n > 0 != lossy {
			lossy = n > 0
			h.log.Info().Str("event", eventBelief).Int("replicas", n).Msg("replicas that lose answers")
		}
	}
}

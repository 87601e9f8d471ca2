package entryhost

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/forward"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// connectionShare is the fraction of a replica's connection limit that all hosts together
// may use.
const connectionShare = 0.9

// minRetarget is the least time until the targets are set again because replicas are no
// longer cold.
const minRetarget = time.Second

// targets returns how this host connects to the replicas of a view. A host that does
// not keep connections to a service, or that may send nothing to a replica while it is cold,
// may open one on demand.
func (h *Host) targets(v *routing.View) []forward.Target {
	targets := make([]forward.Target, 0, len(v.Replicas))
	requestBytes := h.settings.Load().replicaRequestBytes()
	connectingHosts := h.gateway.ConnectingHosts(v)
	for key, r := range v.Replicas {
		connecting := connectingHosts[r.Service]
		maxConnections := 1
		if connecting.IncludesSelf {
			maxConnections = connectionsPerHost(v.Config.Services[r.Service].MaxConnections, connecting.Count)
		}
		keepIdle := connecting.IncludesSelf && h.gateway.WithoutShare(key) == 0
		targets = append(targets, forward.Target{
			Key:             key,
			Address:         r.Address,
			KeepIdle:        keepIdle,
			MaxConnections:  maxConnections,
			MaxRequestBytes: max(requestBytes/int64(max(connecting.Count, 1)), 1),
		})
	}
	return targets
}

// nextShare returns when the first of the replicas that get nothing from this host while they
// are cold is warm, or zero if there are none.
func (h *Host) nextShare(v *routing.View) time.Duration {
	var next time.Duration
	for key := range v.Replicas {
		if at := h.gateway.WithoutShare(key); at > 0 && (next == 0 || at < next) {
			next = at
		}
	}
	return next
}

// setTargets connects to the replicas of a view, and again once the first of those that get
// nothing from this host while they are cold are warm.
func (h *Host) setTargets(v *routing.View) {
	h.client.SetTargets(h.targets(v))
	next := h.nextShare(v)
	if next == 0 {
		return
	}
	time.AfterFunc(max(next-h.now(), minRetarget), func() {
		if h.gateway.View() == v {
			h.setTargets(v)
		}
	})
}

// connectionsPerHost returns one host's share of the connections to a replica. Each
// host may have at least one, even if the hosts then exceed the limit together.
func connectionsPerHost(limit, hosts int) int {
	return max(int(float64(limit)*connectionShare/float64(hosts)), 1)
}

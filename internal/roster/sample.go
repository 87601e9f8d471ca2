package roster

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
)

const (
	// LocalPeers is the number of heartbeats that a host sends per interval within
	// its data centre.
	LocalPeers = 3
	// RemotePeers is the number of heartbeats that a host sends per interval to
	// other data centres.
	RemotePeers = 1
	// HintsPerHeartbeat bounds the number of hosts that a heartbeat describes.
	HintsPerHeartbeat = 32
	// hintCandidates is the number of hosts drawn at random for one hint.
	hintCandidates = 5
	// probeOneIn is the mean number of samples per probe of a silent host, if there
	// are enough live hosts.
	probeOneIn = 4
)

// SampleTargets returns the distinct addresses of random peers to send heartbeats
// to: as many as local of the same data centre and as many as remote of others.
// Silent hosts are used where there are too few live ones. Otherwise one silent
// host is added occasionally, so that hosts find each other after a start or a
// partition.
func (r *Roster) SampleTargets(local, remote int) []string {
	out := r.appendRandom(nil, r.local, local)
	out = r.appendRandom(out, r.remote, remote)
	wanted := local + remote
	if len(out) < wanted {
		out = r.appendRandom(out, r.silent, wanted-len(out))
	} else if len(r.silent) > 0 && r.rng.IntN(probeOneIn) == 0 {
		out = r.appendRandom(out, r.silent, 1)
	}
	return out
}

// appendRandom appends the addresses of at most n distinct random members to out.
func (r *Roster) appendRandom(out []string, from []*member, n int) []string {
	n = min(n, len(from))
	if n <= 0 {
		return out
	}
	start := len(out)
	for _, i := range r.randomIndexes(len(from), n) {
		out = append(out, from[i].host.Incarnation.Address)
	}
	return out[:start+n]
}

// randomIndexes returns k distinct random indexes below n, in random order, by
// Floyd's algorithm; its cost does not depend on n.
func (r *Roster) randomIndexes(n, k int) []int {
	out := make([]int, 0, k)
	for j := n - k; j < n; j++ {
		i := r.rng.IntN(j + 1)
		for _, other := range out {
			if other == i {
				i = j
				break
			}
		}
		out = append(out, i)
	}
	r.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// Hints returns a bounded sample of live hosts for a heartbeat: first recently
// changed ones, then about as many of the same data centre as of others. For each
// of the latter, it draws hintCandidates hosts and includes the one with the latest
// heartbeat, since the receiver most likely has older information about that one.
func (r *Roster) Hints(now time.Duration) []peerwire.HostHint {
	chosen := make([]*member, 0, HintsPerHeartbeat)
	chosen = r.appendChanged(chosen, HintsPerHeartbeat/2)
	rest := HintsPerHeartbeat - len(chosen)
	chosen = r.appendRecent(chosen, r.remote, rest/2)
	chosen = r.appendRecent(chosen, r.local, HintsPerHeartbeat-len(chosen))
	hints := make([]peerwire.HostHint, 0, len(chosen))
	for _, m := range chosen {
		hints = append(hints, peerwire.HostHint{
			Incarnation: m.host.Incarnation,
			DataCentre:  m.host.DataCentre,
			State:       m.host.State,
			Revision:    m.host.Revision,
			Age:         now - m.heartbeatAt,
		})
	}
	return hints
}

// appendChanged appends live members whose last change is still to be reported
// with priority, up to a length of limit.
func (r *Roster) appendChanged(out []*member, limit int) []*member {
	for _, list := range [][]*member{r.local, r.remote} {
		start := 0
		if len(list) > 0 {
			start = r.rng.IntN(len(list))
		}
		for i := range list {
			m := list[(start+i)%len(list)]
			if m.pendingTransmissions == 0 {
				continue
			}
			if len(out) == limit {
				return out
			}
			m.pendingTransmissions--
			out = append(out, m)
		}
	}
	return out
}

// appendRecent appends at most n members of from. Each is the one with the latest
// heartbeat among hintCandidates random ones, and is skipped if out has it already.
func (r *Roster) appendRecent(out, from []*member, n int) []*member {
	first := len(out)
	for range n {
		if len(from) == 0 || len(out)-first == len(from) {
			return out
		}
		latest := from[r.rng.IntN(len(from))]
		for range hintCandidates - 1 {
			if other := from[r.rng.IntN(len(from))]; other.heartbeatAt > latest.heartbeatAt {
				latest = other
			}
		}
		if !contains(out, latest) {
			out = append(out, latest)
		}
	}
	return out
}

func contains(list []*member, m *member) bool {
	for _, other := range list {
		if other == m {
			return true
		}
	}
	return false
}

// HostsWithRevision returns the addresses of at most n random live hosts that have
// revision or a higher one in force. They are of the same data centre if it has
// any, else of the others.
func (r *Roster) HostsWithRevision(revision config.Revision, n int) []string {
	for _, list := range [][]*member{r.local, r.remote} {
		if out := r.appendRandom(nil, membersWithRevision(list, revision), n); len(out) > 0 {
			return out
		}
	}
	return nil
}

// membersWithRevision returns the members that have revision or a higher one in force.
func membersWithRevision(list []*member, revision config.Revision) []*member {
	var out []*member
	for _, m := range list {
		if m.host.Revision >= revision {
			out = append(out, m)
		}
	}
	return out
}

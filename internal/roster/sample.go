package roster

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
)

const (
	// LocalPeers is the number of heartbeats per interval to the same data centre.
	LocalPeers = 3
	// RemotePeers is the number of heartbeats per interval to other data centres.
	RemotePeers = 1
	// HintsPerHeartbeat bounds the hosts that a heartbeat tells of.
	HintsPerHeartbeat = 32
	// hintChoices is how many hosts are drawn for one hint.
	hintChoices = 5
	// probeOneIn is how rarely a silent host is probed: once in so many samples.
	probeOneIn = 4
)

// SampleTargets returns the addresses of peers for heartbeats: local ones of the same
// data centre and remote ones of others, without repetition. Silent hosts take
// the place of live ones that lack, and one is probed now and then, so that
// hosts find each other at a start and after a partition.
func (r *Roster) SampleTargets(local, remote int) []string {
	out := r.pick(nil, r.local, local)
	out = r.pick(out, r.remote, remote)
	wanted := local + remote
	if len(out) < wanted {
		out = r.pick(out, r.silent, wanted-len(out))
	} else if len(r.silent) > 0 && r.rng.IntN(probeOneIn) == 0 {
		out = r.pick(out, r.silent, 1)
	}
	return out
}

// pick appends n distinct random members to out.
func (r *Roster) pick(out []string, from []*member, n int) []string {
	n = min(n, len(from))
	if n <= 0 {
		return out
	}
	start := len(out)
	for _, i := range r.distinct(len(from), n) {
		out = append(out, from[i].host.Incarnation.Address)
	}
	return out[:start+n]
}

// distinct returns k distinct random indexes below n, in random order, by
// Floyd's method; its cost does not depend on n.
func (r *Roster) distinct(n, k int) []int {
	out := make([]int, 0, k)
	for j := n - k; j < n; j++ {
		i := r.rng.IntN(j + 1)
		for _, o := range out {
			if o == i {
				i = j
				break
			}
		}
		out = append(out, i)
	}
	r.rng.Shuffle(len(out), func(a, b int) { out[a], out[b] = out[b], out[a] })
	return out
}

// Hints returns a bounded sample of live hosts for a heartbeat: recent changes
// first, then half of the same data centre and half of others. Of the
// hosts drawn for a hint, the one heard most recently is told of, since others
// are the likelier to have older news of it.
func (r *Roster) Hints(now time.Duration) []peerwire.HostHint {
	chosen := make([]*member, 0, HintsPerHeartbeat)
	chosen = r.changed(chosen, HintsPerHeartbeat/2)
	rest := HintsPerHeartbeat - len(chosen)
	chosen = r.fresh(chosen, r.remote, rest/2)
	chosen = r.fresh(chosen, r.local, HintsPerHeartbeat-len(chosen))
	hints := make([]peerwire.HostHint, 0, len(chosen))
	for _, m := range chosen {
		hints = append(hints, peerwire.HostHint{
			Incarnation: m.host.Incarnation,
			DataCentre:  m.host.DataCentre,
			State:       m.host.State,
			Revision:    m.host.Revision,
			Age:         now - m.heard,
		})
	}
	return hints
}

// changed appends at most limit members whose change isn't passed on enough.
func (r *Roster) changed(out []*member, limit int) []*member {
	for _, list := range [][]*member{r.local, r.remote} {
		start := 0
		if len(list) > 0 {
			start = r.rng.IntN(len(list))
		}
		for i := range list {
			m := list[(start+i)%len(list)]
			if m.passOn == 0 {
				continue
			}
			if len(out) == limit {
				return out
			}
			m.passOn--
			out = append(out, m)
		}
	}
	return out
}

// fresh appends at most n distinct members of from.
func (r *Roster) fresh(out, from []*member, n int) []*member {
	first := len(out)
	for range n {
		if len(from) == 0 || len(out)-first == len(from) {
			return out
		}
		a := from[r.rng.IntN(len(from))]
		for range hintChoices - 1 {
			if b := from[r.rng.IntN(len(from))]; b.heard > a.heard {
				a = b
			}
		}
		if !contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

func contains(list []*member, m *member) bool {
	for _, o := range list {
		if o == m {
			return true
		}
	}
	return false
}

// HostsWithRevision returns at most n random live hosts that have revision or a higher one
// in force, of the same data centre if there are any.
func (r *Roster) HostsWithRevision(revision config.Revision, n int) []string {
	for _, list := range [][]*member{r.local, r.remote} {
		if out := r.pick(nil, holders(list, revision), n); len(out) > 0 {
			return out
		}
	}
	return nil
}

func holders(list []*member, revision config.Revision) []*member {
	var out []*member
	for _, m := range list {
		if m.host.Revision >= revision {
			out = append(out, m)
		}
	}
	return out
}

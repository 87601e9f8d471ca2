package split_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/gypsumlug/gypsumlug/internal/split"
)

func peers(n int, dataCentre string) []split.Peer {
	var out []split.Peer
	for i := range n {
		out = append(out, split.Peer{Address: fmt.Sprintf("10.%s.0.%d:1", dataCentre, i), DataCentre: dataCentre})
	}
	return out
}

func services(n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("s%d", i))
	}
	return out
}

// Each shard is in exactly one group, for any number of shards and groups.
func TestGroupShardsCoversEachShardOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, groups := rapid.IntRange(0, 200).Draw(t, "shards"), rapid.IntRange(1, 20).Draw(t, "groups")
		seen := make([]int, n)
		for _, group := range split.GroupShards(services(n), groups) {
			for _, i := range group {
				seen[i]++
			}
		}
		for i, times := range seen {
			if times != 1 {
				t.Fatalf("shard %d is in %d groups", i, times)
			}
		}
	})
}

// Indexes with fewer than 40 shards are not divided. Larger ones are, into a
// number of groups that follows from their shards and from the hosts of the
// data centre, so that a group never has a single owner.
func TestGroups(t *testing.T) {
	for _, tc := range []struct{ shards, hosts, want int }{
		{20, 9, 1}, {30, 140, 1}, {90, 35, 8}, {90, 3, 1}, {90, 16, 4}, {135, 140, 8}, {0, 0, 1}, {90, 11, 2}, {45, 40, 4},
	} {
		table := split.NewPeerTable(split.Peer{Address: "10.0.0.200:1", DataCentre: "a"})
		table.SetPeers(append(peers(tc.hosts-1, "a"), peers(40, "b")...))
		NewWithT(t).Expect(table.Groups(tc.shards)).To(Equal(tc.want), fmt.Sprint(tc))
	}
}

// Hosts whose lists of peers differ slightly compute the same number of groups. A
// group has at least two owners in each data centre, and not many more than its
// share of the hosts.
func TestHostsAgreeOnGroups(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(26, 40).Draw(t, "hosts")
		all := append(peers(hosts, "a"), peers(hosts, "b")...)
		missing := rapid.IntRange(0, 3).Draw(t, "missing")
		one, other := split.NewPeerTable(all[0]), split.NewPeerTable(all[1])
		one.SetPeers(all)
		other.SetPeers(all[:len(all)-missing])
		groups := one.Groups(135)
		if other.Groups(135) != groups {
			t.Fatalf("hosts disagree on the number of groups: %d and %d", groups, other.Groups(135))
		}
		if size := one.OwnerCount(groups); size < 2*2 || size > 2*(hosts/groups+1) {
			t.Fatalf("groups have %d owners", size)
		}
	})
}

// Each group has owners in each data centre, and every host counts as many owners
// as there are.
func TestEveryGroupHasOwnersInEachDataCentre(t *testing.T) {
	g := NewWithT(t)
	all := append(peers(35, "a"), peers(32, "b")...)
	owned := 0
	for _, self := range all {
		table := split.NewPeerTable(self)
		table.SetPeers(all)
		for group := range 8 {
			if table.Owns(group, 8) {
				owned++
			}
		}
		g.Expect(table.OwnerCount(8)).To(Equal(5 + 4))
	}
	g.Expect(owned).To(Equal(8 * (5 + 4)))
}

// Without replicaCentres, only hosts in the table's data centre are picked. A
// host that failed is not picked during its backoff.
func TestPick(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	table := split.NewPeerTable(split.Peer{Address: "10.0.0.200:1", DataCentre: "a"})
	table.SetPeers(append(peers(2, "a"), peers(40, "b")...))
	now := time.Second
	seen := map[string]bool{}
	for range 100 {
		address, ok := table.Pick(now, 0, 1, nil, rng)
		g.Expect(ok).To(BeTrue())
		seen[address] = true
	}
	g.Expect(seen).To(HaveLen(2))
	table.RequestSent("10.a.0.0:1")
	table.RequestEnded(now, "10.a.0.0:1", false)
	for range 50 {
		address, _ := table.Pick(now, 0, 1, nil, rng)
		g.Expect(address).To(Equal("10.a.0.1:1"))
	}
	table.RequestEnded(now, "10.a.0.1:1", false)
	_, ok := table.Pick(now, 0, 1, nil, rng)
	g.Expect(ok).To(BeFalse())
	_, ok = table.Pick(now+10*time.Second, 0, 1, nil, rng)
	g.Expect(ok).To(BeTrue())
}

// Hosts in the table's data centre are picked if it has the replicas, and hosts
// in the data centres that have them otherwise. If those data centres are unknown
// or have no available hosts, hosts in the table's data centre are picked.
func TestPickPrefersDataCentresWithReplicas(t *testing.T) {
	for name, c := range map[string]struct {
		replicaCentres, failed []string
		want                   string
	}{
		"own data centre has replicas":                      {replicaCentres: []string{"a", "b"}, want: "10.a."},
		"no data centre has enough replicas":                {want: "10.a."},
		"only another data centre has replicas":             {replicaCentres: []string{"b"}, want: "10.b."},
		"the data centre with replicas has no hosts":        {replicaCentres: []string{"c"}, want: "10.a."},
		"the hosts in the data centre with replicas failed": {replicaCentres: []string{"b"}, failed: []string{"10.b.0.0:1", "10.b.0.1:1"}, want: "10.a."},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			rng := rand.New(rand.NewPCG(1, 2))
			table := split.NewPeerTable(split.Peer{Address: "10.0.0.200:1", DataCentre: "a"})
			table.SetPeers(append(peers(2, "a"), peers(2, "b")...))
			for _, address := range c.failed {
				table.RequestSent(address)
				table.RequestEnded(time.Second, address, false)
			}
			for range 30 {
				address, ok := table.Pick(time.Second, 0, 1, c.replicaCentres, rng)
				g.Expect(ok).To(BeTrue())
				g.Expect(address).To(HavePrefix(c.want))
			}
		})
	}
}

func TestDigestDistinguishesIndexes(t *testing.T) {
	g := NewWithT(t)
	g.Expect(split.Digest([]string{"a", "b"})).To(Equal(split.Digest([]string{"a", "b"})))
	for _, other := range [][]string{{"b", "a"}, {"ab"}, {"a"}, {"a", "b", ""}, nil} {
		g.Expect(split.Digest([]string{"a", "b"})).NotTo(Equal(split.Digest(other)))
	}
}

// The backoff of a host whose replies are late doubles each time, even if the
// requests are cancelled before they end, and is reset by a successful reply.
func TestLateHostIsBackedOff(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	table := split.NewPeerTable(split.Peer{Address: "10.0.0.200:1", DataCentre: "a"})
	table.SetPeers(peers(1, "a"))
	address := peers(1, "a")[0].Address
	available := func(now time.Duration) bool {
		_, ok := table.Pick(now, 0, 1, nil, rng)
		return ok
	}
	now := time.Second
	g.Expect(available(now)).To(BeTrue())
	for _, backoff := range []time.Duration{500, 1000, 2000, 4000, 8000, 8000} {
		table.RequestSent(address)
		table.ReplyLate(now, address)
		table.RequestCancelled(address)
		g.Expect(available(now + backoff*time.Millisecond - 1)).To(BeFalse())
		now += backoff * time.Millisecond
		g.Expect(available(now)).To(BeTrue())
	}
	table.RequestSent(address)
	table.RequestEnded(now, address, true)
	table.ReplyLate(now, address)
	g.Expect(available(now + 500*time.Millisecond)).To(BeTrue())
}

// A host with more CPU owns more groups and is picked more often.
func TestHostsWithMoreCPUServeMore(t *testing.T) {
	g := NewWithT(t)
	small := peers(33, "a")
	for i := range small {
		small[i].CPUPercent = 13
	}
	large := split.Peer{Address: "10.0.0.201:1", DataCentre: "a", CPUPercent: 80}
	table := split.NewPeerTable(split.Peer{Address: "10.0.0.200:1", DataCentre: "a", CPUPercent: 13})
	table.SetPeers(append(small, large))
	rng := rand.New(rand.NewPCG(1, 2))
	parts := map[string]int{}
	for range 200 {
		for group := range 8 {
			address, ok := table.Pick(time.Second, group, 8, nil, rng)
			g.Expect(ok).To(BeTrue())
			parts[address]++
		}
	}
	mean := 200 * 8 / 34
	g.Expect(parts[large.Address]).To(BeNumerically(">", 3*mean))
	g.Expect(len(parts)).To(BeNumerically(">", 34/2), "the other hosts serve too")
}

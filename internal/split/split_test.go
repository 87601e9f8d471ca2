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

// Each shard is in one group, whatever the numbers.
func TestDealCoversEachShardOnce(t *testing.T) {
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

// Today's deployments are not divided; a wide index on many hosts is, into about as
// many groups as its shards and the hosts of the data centre need, and never into
// teams of one host.
func TestGroups(t *testing.T) {
	for _, tc := range []struct{ shards, hosts, want int }{
		{20, 9, 1}, {30, 140, 1}, {90, 35, 8}, {90, 3, 1}, {90, 16, 4}, {135, 140, 8}, {0, 0, 1}, {90, 11, 2}, {45, 40, 4},
	} {
		table := split.NewPeerTable(split.Peer{Address: "10.0.0.200:1", DataCentre: "a"})
		table.SetPeers(append(peers(tc.hosts-1, "a"), peers(40, "b")...))
		NewWithT(t).Expect(table.Groups(tc.shards)).To(Equal(tc.want), fmt.Sprint(tc))
	}
}

// Hosts that know some more or fewer others divide a query alike, and agree on most
// of the teams.
func TestHostsAgreeOnTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(26, 40).Draw(t, "hosts")
		all := append(peers(hosts, "a"), peers(hosts, "b")...)
		missing := rapid.IntRange(0, 3).Draw(t, "missing")
		one, other := split.NewPeerTable(all[0]), split.NewPeerTable(all[1])
		one.SetPeers(all)
		other.SetPeers(all[:len(all)-missing])
		groups := one.Groups(135)
		if other.Groups(135) != groups {
			t.Fatalf("%d groups and %d", groups, other.Groups(135))
		}
		if size := one.OwnerCount(groups); size < 2*2 || size > 2*(hosts/groups+1) {
			t.Fatalf("teams of %d", size)
		}
	})
}

// Each group has a host in each data centre, and each host keeps to few groups.
func TestEveryGroupHasATeamInEachDataCentre(t *testing.T) {
	g := NewWithT(t)
	all := append(peers(35, "a"), peers(32, "b")...)
	served := 0
	for _, self := range all {
		table := split.NewPeerTable(self)
		table.SetPeers(all)
		for group := range 8 {
			if table.Owns(group, 8) {
				served++
			}
		}
		g.Expect(table.OwnerCount(8)).To(Equal(5 + 4))
	}
	g.Expect(served).To(Equal(8 * (5 + 4)))
}

// Only hosts of the own data centre are asked, those that failed not for a while.
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

// Hosts near the replicas are asked, and those of the own data centre without any.
func TestPickNearTheReplicas(t *testing.T) {
	for name, c := range map[string]struct {
		near, failed []string
		want         string
	}{
		"own data centre is near":          {near: []string{"a", "b"}, want: "10.a."},
		"nowhere is near":                  {want: "10.a."},
		"another one is near":              {near: []string{"b"}, want: "10.b."},
		"the near one has no hosts":        {near: []string{"c"}, want: "10.a."},
		"the hosts of the near one failed": {near: []string{"b"}, failed: []string{"10.b.0.0:1", "10.b.0.1:1"}, want: "10.a."},
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
				address, ok := table.Pick(time.Second, 0, 1, c.near, rng)
				g.Expect(ok).To(BeTrue())
				g.Expect(address).To(HavePrefix(c.want))
			}
		})
	}
}

func TestDigestTellsIndexesApart(t *testing.T) {
	g := NewWithT(t)
	g.Expect(split.Digest([]string{"a", "b"})).To(Equal(split.Digest([]string{"a", "b"})))
	for _, other := range [][]string{{"b", "a"}, {"ab"}, {"a"}, {"a", "b", ""}, nil} {
		g.Expect(split.Digest([]string{"a", "b"})).NotTo(Equal(split.Digest(other)))
	}
}

// A host whose replies are late is held for longer each time, also if nobody waits
// for their end, and no more once one comes in time.
func TestLateHostIsHeld(t *testing.T) {
	g := NewWithT(t)
	rng := rand.New(rand.NewPCG(1, 2))
	table := split.NewPeerTable(split.Peer{Address: "10.0.0.200:1", DataCentre: "a"})
	table.SetPeers(peers(1, "a"))
	address := peers(1, "a")[0].Address
	asked := func(now time.Duration) bool {
		_, ok := table.Pick(now, 0, 1, nil, rng)
		return ok
	}
	now := time.Second
	g.Expect(asked(now)).To(BeTrue())
	for _, hold := range []time.Duration{500, 1000, 2000, 4000, 8000, 8000} {
		table.RequestSent(address)
		table.ReplyLate(now, address)
		table.RequestCancelled(address)
		g.Expect(asked(now + hold*time.Millisecond - 1)).To(BeFalse())
		now += hold * time.Millisecond
		g.Expect(asked(now)).To(BeTrue())
	}
	table.RequestSent(address)
	table.RequestEnded(now, address, true)
	table.ReplyLate(now, address)
	g.Expect(asked(now + 500*time.Millisecond)).To(BeTrue())
}

// A host with more of a processor is in more teams and gets more of the parts.
func TestStrongHostsServeMore(t *testing.T) {
	g := NewWithT(t)
	weak := peers(33, "a")
	for i := range weak {
		weak[i].CPUPercent = 13
	}
	strong := split.Peer{Address: "10.0.0.201:1", DataCentre: "a", CPUPercent: 80}
	table := split.NewPeerTable(split.Peer{Address: "10.0.0.200:1", DataCentre: "a", CPUPercent: 13})
	table.SetPeers(append(weak, strong))
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
	g.Expect(parts[strong.Address]).To(BeNumerically(">", 3*mean))
	g.Expect(len(parts)).To(BeNumerically(">", 34/2), "the others serve too")
}

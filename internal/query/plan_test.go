package query

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
)

// eligibleReplicas is a ReplicaSelector for which only the named endpoints are
// eligible.
type eligibleReplicas map[string]bool

func (e eligibleReplicas) Eligible(_ time.Duration, id string) bool { return e[id] }

func (e eligibleReplicas) Pick(time.Duration, []string, []string) (string, bool) { return "", false }

func (e eligibleReplicas) HedgeDelay(*config.Service) time.Duration { return 0 }

// Each snapshot has two shards with one replica each: snapshot 1 is held by endpoints
// "1a" and "1b", and so on.
func TestChooseSnapshot(t *testing.T) {
	index := &config.Index{}
	for id, name := range []string{"1", "2", "3"} {
		halves := keyrange.Split(2)
		index.Snapshots = append(index.Snapshots, config.Snapshot{ID: uint64(id + 1), Shards: []config.Shard{
			{Range: halves[0], Replicas: []string{name + "a"}},
			{Range: halves[1], Replicas: []string{name + "b"}},
		}})
	}
	for _, c := range []struct {
		name     string
		eligible eligibleReplicas
		maxFresh int
		exclude  uint64
		want     uint64
	}{
		{"newest complete snapshot", eligibleReplicas{"1a": true, "1b": true, "2a": true, "2b": true, "3a": true}, 0, 0, 2},
		{"only the newest is considered", eligibleReplicas{"1a": true, "1b": true, "2a": true, "2b": true, "3a": true}, 1, 0, 3},
		{"the two newest are considered", eligibleReplicas{"1a": true, "1b": true, "2a": true, "3b": true}, 2, 0, 3},
		{"maxFresh exceeds the number of snapshots", eligibleReplicas{"1a": true, "1b": true, "2a": true}, 9, 0, 1},
		{"no considered snapshot is held", eligibleReplicas{"1a": true, "1b": true}, 2, 0, 0},
		{"excluded ones count towards maxFresh", eligibleReplicas{"1a": true, "1b": true, "2a": true, "2b": true, "3a": true, "3b": true}, 2, 3, 2},
		{"best coverage", eligibleReplicas{"1a": true, "1b": true, "2a": true}, 0, 1, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			got := chooseSnapshot(0, index, c.maxFresh, c.eligible, func(s *config.Snapshot) bool { return s.ID == c.exclude })
			if c.want == 0 {
				g.Expect(got).To(BeNil())
				return
			}
			g.Expect(got).NotTo(BeNil())
			g.Expect(got.ID).To(Equal(c.want))
		})
	}
}

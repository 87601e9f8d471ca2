package query_test

import (
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/query"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// firstReplicaExcept is a firstReplica that lacks replicas of the index, as when they
// have left.
type firstReplicaExcept struct {
	firstReplica
	left []string
}

func (f firstReplicaExcept) Eligible(_ time.Duration, id string) bool {
	return !slices.Contains(f.left, id)
}

func (f firstReplicaExcept) Pick(now time.Duration, candidates, exclude []string) (string, bool) {
	return f.firstReplica.Pick(now, candidates, slices.Concat(exclude, f.left))
}

// A query does not retry without backoff once it has tried all replicas that are left,
// if one of the replicas that it began with has gone.
func TestRetriesBackOffThoughAReplicaHasLeft(t *testing.T) {
	for _, left := range [][]string{nil, {"c"}, {"b", "c"}} {
		g := NewWithT(t)
		q := newForwardQuery(1, query.Forward{Message: &dispatch.Message{}, MaxReplicas: 2, UnlimitedRetries: true, Target: time.Second}, firstReplicaExcept{left: left})
		sent := q.Start(0).Dispatch
		attempts := 0
		for len(sent) > 0 && attempts < 100 {
			attempts += len(sent)
			sent = q.Reply(time.Millisecond, sent[0].RefusedReply(result.ConnectFailed)).Dispatch
		}
		g.Expect(attempts).To(Equal(3-len(left)), "attempts before the first backoff")
		g.Expect(q.NextTick()).To(BeNumerically(">", time.Millisecond))
	}
}

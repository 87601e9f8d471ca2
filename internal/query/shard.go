package query

import (
	"slices"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

type shardState uint8

const (
	shardPending shardState = iota
	shardCovered
	shardMissing
)

// attempt is a dispatched attempt without a reply.
type attempt struct {
	number   uint32
	endpoint string
	sentAt   time.Duration
	// isolated means that the query was a suspect when the attempt was sent.
	isolated bool
}

// shard is the state of one shard of the pinned snapshot.
type shard struct {
	keys         keyrange.Range
	replicas     []string
	state        shardState
	hits         []dispatch.Hit
	response     *dispatch.Response
	openAttempts []attempt
	// tried are the endpoints that ended an attempt without a good reply. The list
	// is cleared when no untried replica is eligible.
	tried []string
	// withoutData are the endpoints that reported that they do not hold the
	// snapshot or the range.
	withoutData []string
	// sentTo are the endpoints to which an attempt was sent. MaxReplicas bounds
	// them for a forwarded message.
	sentTo []string
	// reached are those of sentTo that an attempt which has ended reached, or may have.
	reached []string
	hedges  int
	retries int
	// hedgeAt is when the next hedge is due; zero means that none is planned.
	hedgeAt time.Duration
	// retryScheduled means that a retry is due at retryAt.
	retryScheduled bool
	retryAt        time.Duration
	backoff        time.Duration
	// denied means that the budget did not allow the next extra attempt so far.
	denied bool
	// reason is the code of the last attempt that failed or, once the shard is
	// given up, the reason why it is missing.
	reason result.Code
}

// close removes and returns the open attempt with the given number.
func (s *shard) close(number uint32) attempt {
	i := slices.IndexFunc(s.openAttempts, func(a attempt) bool { return a.number == number })
	closed := s.openAttempts[i]
	s.openAttempts = slices.Delete(s.openAttempts, i, i+1)
	return closed
}

// nextTick returns when Tick is due next for the shard, or false if it is not.
func (s *shard) nextTick(suspect bool) (time.Duration, bool) {
	switch {
	case s.state != shardPending:
		return 0, false
	case s.retryScheduled:
		return s.retryAt, true
	case s.hedgeAt > 0 && len(s.openAttempts) > 0 && !suspect:
		return s.hedgeAt, true
	default:
		return 0, false
	}
}

// openEndpoints returns the endpoints with an open attempt at the shard.
func (s *shard) openEndpoints() []string {
	out := make([]string, 0, len(s.openAttempts))
	for _, a := range s.openAttempts {
		out = append(out, a.endpoint)
	}
	return out
}

// noReplicaHasData reports whether every replica reported that it does not hold
// the snapshot or the range.
func (s *shard) noReplicaHasData() bool {
	for _, id := range s.replicas {
		if !slices.Contains(s.withoutData, id) {
			return false
		}
	}
	return len(s.withoutData) > 0
}

// notReached removes an endpoint from sentTo that an attempt did not reach, unless another
// attempt did or is under way.
func (s *shard) notReached(endpoint string) {
	underWay := func(a attempt) bool { return a.endpoint == endpoint }
	if slices.Contains(s.reached, endpoint) || slices.ContainsFunc(s.openAttempts, underWay) {
		return
	}
	if i := slices.Index(s.sentTo, endpoint); i >= 0 {
		s.sentTo = slices.Delete(s.sentTo, i, i+1)
	}
}

func appendUnique(list []string, v string) []string {
	if slices.Contains(list, v) {
		return list
	}
	return append(list, v)
}

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

// attempt is one open dispatch.
type attempt struct {
	number   uint32
	endpoint string
	// alone tells that the query was a suspect when the attempt was sent.
	alone bool
}

// shard is the progress of one shard of the pinned snapshot.
type shard struct {
	keys     keyrange.Range
	replicas []string
	state    shardState
	hits     []dispatch.Hit
	response *dispatch.Response
	open     []attempt
	// tried are the endpoints that ended an attempt without a good reply.
	tried []string
	// gone are the endpoints that do not hold the snapshot or the range.
	gone []string
	// sent are the endpoints that a forwarded message was sent to.
	sent    []string
	hedges  int
	retries int
	// hedgeAt is when the next hedge is due; zero means never.
	hedgeAt time.Duration
	// waiting tells that a retry is due at retryAt.
	waiting bool
	retryAt time.Duration
	backoff time.Duration
	// reason is the code of the last attempt that ended.
	reason result.Code
}

// close removes and returns the open attempt with the given number.
func (s *shard) close(number uint32) attempt {
	i := slices.IndexFunc(s.open, func(a attempt) bool { return a.number == number })
	closed := s.open[i]
	s.open = slices.Delete(s.open, i, i+1)
	return closed
}

// timer returns when the shard next needs a Tick.
func (s *shard) timer(suspect bool) (time.Duration, bool) {
	switch {
	case s.state != shardPending:
		return 0, false
	case s.waiting:
		return s.retryAt, true
	case s.hedgeAt > 0 && len(s.open) > 0 && !suspect:
		return s.hedgeAt, true
	default:
		return 0, false
	}
}

// busy returns the endpoints with an open attempt.
func (s *shard) busy() []string {
	out := make([]string, 0, len(s.open))
	for _, a := range s.open {
		out = append(out, a.endpoint)
	}
	return out
}

// exhausted reports whether every replica lacks the snapshot or range.
func (s *shard) exhausted() bool {
	for _, id := range s.replicas {
		if !slices.Contains(s.gone, id) {
			return false
		}
	}
	return len(s.gone) > 0
}

// unsend forgets an endpoint that the message did not reach.
func (s *shard) unsend(endpoint string) {
	if i := slices.Index(s.sent, endpoint); i >= 0 {
		s.sent = slices.Delete(s.sent, i, i+1)
	}
}

func addOnce(list []string, v string) []string {
	if slices.Contains(list, v) {
		return list
	}
	return append(list, v)
}

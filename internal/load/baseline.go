package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/api"
	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/standin"
)

// baselineRetryInterval is the time between two attempts. It keeps unlimited
// retries from using up a processor core.
const baselineRetryInterval = time.Millisecond

// BaselineTarget implements the naive policy that gypsumlug is compared with: it
// sends each sub-request to a random replica of the shard, never hedges, retries
// without limit until the deadline and opens connections on demand. It retries
// submits like queries, so that a submit may run more than once.
type BaselineTarget struct {
	bundle     func() *config.Bundle
	httpClient *http.Client
	sequence   atomic.Uint64
	retries    atomic.Int64
	idPrefix   string

	mu     sync.Mutex
	random *rand.Rand
}

// NewBaselineTarget returns the target for the host with the given number. bundle
// returns the configuration in force.
func NewBaselineTarget(host int, seed uint64, bundle func() *config.Bundle) *BaselineTarget {
	return &BaselineTarget{
		bundle: bundle,
		httpClient: &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     idleTimeout,
		}},
		idPrefix: "b" + strconv.Itoa(host) + "-",
		random:   rand.New(rand.NewPCG(seed, uint64(host))),
	}
}

// Retries returns the number of attempts after the first, over all sub-requests.
func (b *BaselineTarget) Retries() int64 { return b.retries.Load() }

// Query searches every shard and merges the replies. The answer is partial if
// shards have not replied by the deadline.
func (b *BaselineTarget) Query(ctx context.Context, r *api.QueryRequest) (*api.QueryAnswer, error) {
	bundle := b.bundle()
	index := bundle.Index(r.Service)
	snapshot := index.Snapshots[len(index.Snapshots)-1]
	ctx, cancel := context.WithTimeout(ctx, bundle.Service(r.Service).Deadline())
	defer cancel()
	replies := make([]*endpointapi.Reply, len(snapshot.Shards))
	var wg sync.WaitGroup
	for i, shard := range snapshot.Shards {
		request := endpointapi.Request{Service: r.Service, Snapshot: snapshot.ID, Range: shard.Range, Body: r.Query, Limit: r.Limit}
		wg.Go(func() { replies[i] = b.sendUntilDone(ctx, bundle, shard, endpointapi.PathSearch, request) })
	}
	wg.Wait()
	return mergeReplies(r, snapshot, replies), nil
}

// Permit returns locally generated IDs. Nothing checks them at submission.
func (b *BaselineTarget) Permit(_ context.Context, r *api.PermitRequest) (*api.PermitAnswer, error) {
	answer := &api.PermitAnswer{RequestID: r.RequestID, Code: result.PermitIssued}
	for range max(r.Count, 1) {
		answer.Permits = append(answer.Permits, b.nextID())
	}
	return answer, nil
}

// Submit retries the request on random replicas of the shard that holds its key
// until one completes it or the deadline passes.
func (b *BaselineTarget) Submit(ctx context.Context, r *api.SubmitRequest) (*api.SubmitAnswer, error) {
	bundle := b.bundle()
	index := bundle.Index(r.Service)
	ctx, cancel := context.WithTimeout(ctx, bundle.Service(r.Service).Deadline())
	defer cancel()
	shards := index.Snapshots[len(index.Snapshots)-1].Shards
	position := slices.IndexFunc(shards, func(s config.Shard) bool { return s.Range.Contains(r.Key) })
	request := endpointapi.Request{ID: r.Permit, Service: r.Service, Range: shards[position].Range, Body: r.Body}
	reply := b.sendUntilDone(ctx, bundle, shards[position], endpointapi.PathSubmit, request)
	if reply == nil {
		return &api.SubmitAnswer{Permit: r.Permit, Code: result.OutcomeUnknown}, nil
	}
	return &api.SubmitAnswer{Permit: r.Permit, Code: result.Done, Outcome: reply.Outcome}, nil
}

// sendUntilDone retries a request on random replicas of the shard until one
// completes it. It returns nil when ctx ends first. Each attempt of a search has
// its own request ID; a submit keeps its permit as ID.
func (b *BaselineTarget) sendUntilDone(ctx context.Context, bundle *config.Bundle, shard config.Shard, path string, r endpointapi.Request) *endpointapi.Reply {
	for attempt := 0; ctx.Err() == nil; attempt++ {
		if attempt > 0 {
			b.retries.Add(1)
			sleepContext(ctx, baselineRetryInterval)
		}
		if path == endpointapi.PathSearch {
			r.ID = b.nextID()
		}
		replica := bundle.Endpoint(shard.Replicas[b.randomIndex(len(shard.Replicas))])
		if reply := b.send(ctx, "http://"+replica.Address+path, r); reply != nil {
			return reply
		}
	}
	return nil
}

// send posts the request once. It returns nil unless the endpoint completed it.
func (b *BaselineTarget) send(ctx context.Context, url string, r endpointapi.Request) *endpointapi.Reply {
	if deadline, ok := ctx.Deadline(); ok {
		r.BudgetMS = time.Until(deadline).Milliseconds()
	}
	data, err := json.Marshal(r)
	if err != nil {
		return nil
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return nil
	}
	response, err := b.httpClient.Do(request)
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, endpointapi.MaxReplyBytes))
	if err != nil || response.StatusCode != endpointapi.StatusDone {
		return nil
	}
	reply := &endpointapi.Reply{}
	if json.Unmarshal(body, reply) != nil {
		return nil
	}
	return reply
}

// mergeReplies builds the answer to a query from one reply for each shard; a nil
// reply makes its shard missing.
func mergeReplies(r *api.QueryRequest, snapshot config.Snapshot, replies []*endpointapi.Reply) *api.QueryAnswer {
	answer := &api.QueryAnswer{RequestID: r.RequestID, Code: result.Complete, Snapshot: snapshot.ID}
	answer.Coverage.Shards = len(replies)
	var covered []keyrange.Range
	for i, reply := range replies {
		if reply == nil {
			missing := api.Missing{Range: snapshot.Shards[i].Range, Code: result.MissingDeadline}
			answer.Coverage.Missing = append(answer.Coverage.Missing, missing)
			answer.Code = result.Partial
			continue
		}
		answer.Coverage.Covered++
		covered = append(covered, snapshot.Shards[i].Range)
		answer.Hits = append(answer.Hits, reply.Hits...)
	}
	answer.Coverage.Fraction = float64(keyrange.Size(covered)) / float64(keyrange.End)
	slices.SortFunc(answer.Hits, standin.CompareHits)
	return answer
}

func (b *BaselineTarget) nextID() string {
	return b.idPrefix + strconv.FormatUint(b.sequence.Add(1), 10)
}

func (b *BaselineTarget) randomIndex(n int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.random.IntN(n)
}

// sleepContext waits for d or until ctx ends.
func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

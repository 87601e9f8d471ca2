package standin

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// recorderShards is the number of shards of a recorder, each with its own mutex, so
// that endpoints seldom wait for each other.
const recorderShards = 64

// Recorder counts how often endpoints ran each request. Several endpoints can share
// a recorder, which then detects requests that ran on more than one of them.
type Recorder struct {
	shards [recorderShards]recorderShard
}

type recorderShard struct {
	mu   sync.Mutex
	runs map[string]int
	// bodies counts runs by the hash of the request's body.
	bodies map[uint64]int
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	r := &Recorder{}
	for i := range r.shards {
		r.shards[i].runs = make(map[string]int)
		r.shards[i].bodies = make(map[uint64]int)
	}
	return r
}

// SubmitRuns returns how often the submit with the given ID was started. The ID of
// a submit is its permit.
func (r *Recorder) SubmitRuns(id string) int {
	s := r.shard(xxhash.Sum64String(id))
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// BodyRuns returns how often a search or submit with the given body was started by
// endpoints with EndpointOptions.RecordBodies.
func (r *Recorder) BodyRuns(body string) int {
	hash := xxhash.Sum64String(body)
	s := r.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bodies[hash]
}

// RepeatedSubmits returns the IDs of submits that were started more than once.
func (r *Recorder) RepeatedSubmits() []string {
	var out []string
	for i := range r.shards {
		out = append(out, r.shards[i].repeatedSubmits()...)
	}
	return out
}

func (s *recorderShard) repeatedSubmits() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for id, n := range s.runs {
		if n > 1 {
			out = append(out, id)
		}
	}
	return out
}

func (r *Recorder) addRun(id string) {
	s := r.shard(xxhash.Sum64String(id))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

func (r *Recorder) addBody(body string) {
	hash := xxhash.Sum64String(body)
	s := r.shard(hash)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bodies[hash]++
}

func (r *Recorder) shard(hash uint64) *recorderShard { return &r.shards[hash%recorderShards] }

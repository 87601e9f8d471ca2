package questionnaire

import (
	"fmt"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	microsecondsPerSecond      = 1_000_000
	microsecondsPerMillisecond = 1_000
	// hopsPerAttempt is the number of one-way messages of an attempt: to the relay,
	// to the endpoint, and back.
	hopsPerAttempt = 4
	// replacementFactor is the factor by which connections increase while hosts are
	// replaced: a host and its replacement hold connections at the same time.
	replacementFactor = 2
	// maxBytesPerReplica and maxBytesPerShard are upper bounds of the encoded size
	// of a replica ID and of a shard without its replicas in an index document.
	maxBytesPerReplica = maxNameBytes + 10
	maxBytesPerShard   = 80
	// maxTotalBytes is the maximum size of all documents of a revision together.
	maxTotalBytes = 64 << 20
)

// shardsPerRequest returns the number of shards that one request runs on: one for
// a submit, and those of the version with the most shards for a query.
func (s *Service) shardsPerRequest() int {
	if !s.MayBeRepeated {
		return 1
	}
	shards := 0
	for _, v := range s.IndexVersions {
		shards = max(shards, v.Shards)
	}
	return shards
}

// checkCapacity checks that the endpoints can serve the limits, that no caller has
// a higher limit than the service, and that the index document does not exceed the
// value limit of the platform.
func (c *checker) checkCapacity(path string, s *Service) {
	addFault := func(field, reason, remedy string) {
		c.doc.AddFault(result.QuestionnaireCapacity, path+field, reason, remedy)
	}
	slots := s.Shape.Replicas * s.Shape.Slots
	if needed := slotsNeeded(s); needed > float64(slots) {
		addFault(".limits.requests_per_second", fmt.Sprintf("%d requests a second need %.1f slots, the endpoints have %d", s.Limits.RequestsPerSecond, needed, slots),
			"lower the limit, split the index into fewer shards or add replicas")
	}
	if s.Shape.Connections < replacementFactor*s.Shape.Slots {
		addFault(".shape.connections", fmt.Sprintf("%d connections can't keep %d slots busy while a host is replaced", s.Shape.Connections, s.Shape.Slots),
			fmt.Sprintf("want at least %d", replacementFactor*s.Shape.Slots))
	}
	for i, caller := range s.Callers {
		callerPath := fmt.Sprintf(".callers[%d]", i)
		if caller.RequestsAtOnce > s.Limits.RequestsAtOnce {
			addFault(callerPath+".requests_at_once", fmt.Sprintf("%d is over the service's limit", caller.RequestsAtOnce), fmt.Sprintf("want at most %d", s.Limits.RequestsAtOnce))
		}
		if caller.RequestsPerSecond > s.Limits.RequestsPerSecond {
			addFault(callerPath+".requests_per_second", fmt.Sprintf("%d is over the service's limit", caller.RequestsPerSecond), fmt.Sprintf("want at most %d", s.Limits.RequestsPerSecond))
		}
	}
	if size := maxIndexBytes(s); size > config.MaxValueBytes {
		addFault(".index_versions", fmt.Sprintf("the index document could have %d bytes", size), fmt.Sprintf("at most %d are allowed; list fewer versions or shards", config.MaxValueBytes))
	}
}

// checkTotalSize checks that hosts can hold all documents of the revision.
func (c *checker) checkTotalSize() {
	total := 0
	for i := range c.q.Services {
		total += c.q.Services[i].Count * maxIndexBytes(&c.q.Services[i])
	}
	if total > maxTotalBytes {
		c.doc.AddFault(result.QuestionnaireCapacity, "services", fmt.Sprintf("the documents could have %d bytes together", total),
			fmt.Sprintf("at most %d are allowed; split the indexes into fewer shards", maxTotalBytes))
	}
}

// slotsNeeded returns the average number of slots that the expected requests
// occupy.
func slotsNeeded(s *Service) float64 {
	shardRequests := float64(s.Limits.RequestsPerSecond) * float64(s.shardsPerRequest())
	hedgeFactor := 1 + float64(s.ExtraLoad.UsualPercent)/maxPercent
	return shardRequests * hedgeFactor * float64(s.Shape.ShardUS) / microsecondsPerSecond
}

// maxIndexBytes returns an upper bound of the encoded size of an index document.
func maxIndexBytes(s *Service) int {
	const maxBytesPerEndpoint = 4*maxNameBytes + 150
	size := maxBytesPerShard + s.Shape.Replicas*maxBytesPerEndpoint
	for _, v := range s.IndexVersions {
		size += v.Shards * (maxBytesPerShard + s.Shape.ReplicasPerShard*maxBytesPerReplica)
	}
	return size
}

// checkDeadlines checks that a request can be answered in time if there are no
// delays.
func (c *checker) checkDeadlines(path string, s *Service) {
	addFault := func(field, reason, remedy string) {
		c.doc.AddFault(result.QuestionnaireDeadline, path+field, reason, remedy)
	}
	if s.AnswerWithinMS > s.DeadlineMS {
		addFault(".answer_within_ms", fmt.Sprintf("%d ms are after the deadline", s.AnswerWithinMS), fmt.Sprintf("want at most deadline_ms, which is %d", s.DeadlineMS))
	}
	expected := c.q.expectedLatencyMS(s)
	if s.AnswerWithinMS < expected {
		addFault(".answer_within_ms", fmt.Sprintf("an undisturbed answer takes about %d ms", expected), fmt.Sprintf("want at least %d", expected))
	}
	if withConnect := expected + s.Shape.ConnectionCostMS; s.DeadlineMS < withConnect {
		addFault(".deadline_ms", fmt.Sprintf("an answer over a new connection takes about %d ms", withConnect), fmt.Sprintf("want at least %d", withConnect))
	}
}

// expectedLatencyMS estimates how long an answer without delays takes, in
// milliseconds, rounded up. The estimate is the latency of the messages of an
// attempt plus the service time of the shards, which run in several rounds if there
// are fewer slots than shards. It does not include the latency to the caller.
func (q *Questionnaire) expectedLatencyMS(s *Service) int {
	rounds := ceilDiv(s.shardsPerRequest(), s.Shape.Replicas*s.Shape.Slots)
	totalUS := hopsPerAttempt*q.Network.BetweenDataCentresUS + rounds*s.Shape.ShardUS
	return ceilDiv(totalUS, microsecondsPerMillisecond)
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

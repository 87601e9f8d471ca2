package questionnaire

import (
	"fmt"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	microsecondsPerSecond      = 1_000_000
	microsecondsPerMillisecond = 1_000
	// hopsOfAttempt counts the one-way messages of an attempt: to the relay, to
	// the endpoint, and back.
	hopsOfAttempt = 4
	// connectionsPerSlot leaves room for the connections of a replaced host
	// beside those of its replacement.
	connectionsPerSlot = 2
	// bytesPerReplica and bytesPerShard bound what an index document needs.
	bytesPerReplica = maxNameBytes + 10
	bytesPerShard   = 80
	// maxTotalBytes bounds all documents of a revision together.
	maxTotalBytes = 64 << 20
)

// shardsOfRequest returns the number of shards that one request runs on.
func (s *Service) shardsOfRequest() int {
	if !s.MayBeRepeated {
		return 1
	}
	most := 0
	for _, v := range s.IndexVersions {
		most = max(most, v.Shards)
	}
	return most
}

// capacity checks that the limits fit the endpoints and the documents the
// platform.
func (c *checker) capacity(path string, s *Service) {
	add := func(field, reason, remedy string) {
		c.doc.AddFault(result.QuestionnaireCapacity, path+field, reason, remedy)
	}
	slots := s.Shape.Replicas * s.Shape.Slots
	if need := slotsNeeded(s); need > float64(slots) {
		add(".limits.requests_per_second", fmt.Sprintf("%d requests a second need %.1f slots, the endpoints have %d", s.Limits.RequestsPerSecond, need, slots),
			"lower the limit, split the index into fewer shards or add replicas")
	}
	if s.Shape.Connections < connectionsPerSlot*s.Shape.Slots {
		add(".shape.connections", fmt.Sprintf("%d connections can't keep %d slots busy while a host is replaced", s.Shape.Connections, s.Shape.Slots),
			fmt.Sprintf("want at least %d", connectionsPerSlot*s.Shape.Slots))
	}
	for i, u := range s.Callers {
		at := fmt.Sprintf(".callers[%d]", i)
		if u.RequestsAtOnce > s.Limits.RequestsAtOnce {
			add(at+".requests_at_once", fmt.Sprintf("%d is over the service's limit", u.RequestsAtOnce), fmt.Sprintf("want at most %d", s.Limits.RequestsAtOnce))
		}
		if u.RequestsPerSecond > s.Limits.RequestsPerSecond {
			add(at+".requests_per_second", fmt.Sprintf("%d is over the service's limit", u.RequestsPerSecond), fmt.Sprintf("want at most %d", s.Limits.RequestsPerSecond))
		}
	}
	if size := indexBytes(s); size > config.MaxValueBytes {
		add(".index_versions", fmt.Sprintf("the index document could have %d bytes", size), fmt.Sprintf("at most %d are allowed; list fewer versions or shards", config.MaxValueBytes))
	}
}

// totalSize checks that the documents together stay of a size that hosts hold.
func (c *checker) totalSize() {
	total := 0
	for i := range c.q.Services {
		total += c.q.Services[i].Count * indexBytes(&c.q.Services[i])
	}
	if total > maxTotalBytes {
		c.doc.AddFault(result.QuestionnaireCapacity, "services", fmt.Sprintf("the documents could have %d bytes together", total),
			fmt.Sprintf("at most %d are allowed; split the indexes into fewer shards", maxTotalBytes))
	}
}

// slotsNeeded returns how many slots the expected requests keep busy.
func slotsNeeded(s *Service) float64 {
	shards := float64(s.Limits.RequestsPerSecond) * float64(s.shardsOfRequest())
	extra := 1 + float64(s.ExtraLoad.UsualPercent)/maxPercent
	return shards * extra * float64(s.Shape.ShardUS) / microsecondsPerSecond
}

// indexBytes returns an upper bound of the size of an index document.
func indexBytes(s *Service) int {
	const bytesPerEndpoint = 4*maxNameBytes + 150
	size := bytesPerShard + s.Shape.Replicas*bytesPerEndpoint
	for _, v := range s.IndexVersions {
		size += v.Shards * (bytesPerShard + s.Shape.ReplicasPerShard*bytesPerReplica)
	}
	return size
}

// deadlines checks that an undisturbed request can be answered in time.
func (c *checker) deadlines(path string, s *Service) {
	add := func(field, reason, remedy string) {
		c.doc.AddFault(result.QuestionnaireDeadline, path+field, reason, remedy)
	}
	if s.AnswerWithinMS > s.DeadlineMS {
		add(".answer_within_ms", fmt.Sprintf("%d ms are after the deadline", s.AnswerWithinMS), fmt.Sprintf("want at most deadline_ms, which is %d", s.DeadlineMS))
	}
	usual := c.q.usualMS(s)
	if s.AnswerWithinMS < usual {
		add(".answer_within_ms", fmt.Sprintf("an undisturbed answer takes about %d ms", usual), fmt.Sprintf("want at least %d", usual))
	}
	if cold := usual + s.Shape.ConnectionCostMS; s.DeadlineMS < cold {
		add(".deadline_ms", fmt.Sprintf("an answer over a new connection takes about %d ms", cold), fmt.Sprintf("want at least %d", cold))
	}
}

// usualMS returns about how long an undisturbed answer takes in milliseconds,
// rounded up: the messages, and the shards in as many rounds as the slots need.
func (q *Questionnaire) usualMS(s *Service) int {
	rounds := ceilDiv(s.shardsOfRequest(), s.Shape.Replicas*s.Shape.Slots)
	us := hopsOfAttempt*q.Network.BetweenDataCentresUS + rounds*s.Shape.ShardUS
	return ceilDiv(us, microsecondsPerMillisecond)
}

func ceilDiv(a, b int) int { return (a + b - 1) / b }

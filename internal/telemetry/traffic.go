package telemetry

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Cause says why bytes pass between a host and another machine.
type Cause uint8

// The causes of traffic.
const (
	// CauseAttempt is a first attempt at a replica, with its response. CauseRetry and
	// CauseHedge are extra attempts.
	CauseAttempt Cause = iota
	CauseRetry
	CauseHedge
	// CausePart is a request to another host for a part of a divided query, and
	// CausePartReply its replies.
	CausePart
	CausePartReply
	// CauseHeartbeat is a heartbeat to another host.
	CauseHeartbeat
	// CauseListing is the fetch of replicas from another host, and CauseConfiguration one
	// that includes a configuration.
	CauseListing
	CauseConfiguration
	// CauseStore is a call to the platform's store.
	CauseStore
	causeCount
)

// causeNames are the values of the label cause.
var causeNames = [causeCount]string{"attempt", "retry", "hedge", "part", "part_reply", "heartbeat", "listing", "configuration", "store"}

// String returns the value of the label cause.
func (c Cause) String() string { return causeNames[c] }

// Traffic counts the bytes of messages by cause, and by whether they pass between data
// centres. Each message is counted by one host: a request and its replies by the host that
// sends the request. It is safe for concurrent use.
type Traffic struct {
	near, remote [causeCount]*metrics.Counter
}

// NewTraffic returns counters that are registered with c.
func (c *Counters) NewTraffic() *Traffic {
	t := &Traffic{}
	for cause := range causeCount {
		t.near[cause] = c.Counter(trafficName(cause, false))
		t.remote[cause] = c.Counter(trafficName(cause, true))
	}
	return t
}

// trafficName returns the name of a counter, with its labels.
func trafficName(cause Cause, remote bool) string {
	return fmt.Sprintf(`gypsumlug_traffic_bytes_total{cause=%q,remote="%t"}`, cause, remote)
}

// Add counts a number of bytes.
func (t *Traffic) Add(cause Cause, remote bool, bytes int) {
	counter := t.near[cause]
	if remote {
		counter = t.remote[cause]
	}
	counter.Add(bytes)
}

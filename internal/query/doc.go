// Package query implements the state machine of one query, from planning to
// its answer.
//
// # Planning
//
// A query is pinned to one snapshot of the index when it starts: the newest
// snapshot of which every shard has an eligible replica, else the one with the
// best coverage. Each attempt names the snapshot, and a reply from another
// snapshot is never merged. If no replica of a shard holds the snapshot any more,
// the query continues with the replicas that the latest index assigns to the
// shard. If there are none, it restarts on another snapshot and discards the
// replies received so far; the number of restarts is bounded. Endpoints may
// change before hosts learn of it, so the query rechecks the latest index until
// its deadline.
//
// # Attempts
//
// Each shard gets a primary attempt. A shard that is slower than the hedge
// delay gets a hedge on another replica, then a second one, within the
// service's hedge budget. A refused, failed or lost attempt is retried on
// another replica within the retry budget; while the budget is empty, the retry
// waits with exponential backoff. If retries of a forwarded message are limited in
// number, its shard is given up instead. The first good reply covers the shard and
// cancels its other attempts. A reply to a closed attempt is ignored.
//
// # Crash suspects
//
// A query that was in flight when an endpoint crashed is a suspect. A suspect
// has at most one attempt in flight, is never hedged, and asks to run alone on
// the endpoint. The first attempt that succeeds clears the suspicion; a second
// crash ends the query.
//
// # Answers
//
// The query is answered when every shard is covered or given up, at the latency
// target if the service prefers latency and something is covered, and at the
// deadline at the latest. Covered and missing ranges partition the key space of
// the snapshot. The answer is "not run" only if every attempt was refused
// before it started.
//
// The state machine does no I/O and reads no clock. It is not safe for
// concurrent use.
package query

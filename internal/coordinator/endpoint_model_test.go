package coordinator

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// simulatedEndpoint is an endpoint whose mode is "ok" or one of several
// faults.
type simulatedEndpoint struct {
	mode     string
	inFlight map[dispatch.Key]func(dispatch.Reply)
}

// endpointModes are the modes to draw from: an endpoint works, sheds half of
// its attempts, is leaving, has lost the snapshot, crashes, loses the
// connection silently, fails every request, or is slow.
var endpointModes = []string{"ok", "ok", "ok", "shed", "leaving", "gone", "crash", "silent", "fail", "slow"}

// recover ends the faults of all endpoints.
func (sim *simulation) recover() {
	for _, e := range sim.endpoints {
		e.mode = "ok"
	}
}

// send delivers an attempt from the relay of h to the endpoint, and its reply
// back.
func (e *simulatedEndpoint) send(sim *simulation, h *simulatedHost, r dispatch.Request) {
	hasCompleted := false
	complete := func(reply dispatch.Reply) {
		if !hasCompleted {
			hasCompleted = true
			reply.ServiceTime = time.Millisecond
			sim.applyRelayActions(h, h.relay.Complete(sim.now, reply))
		}
	}
	e.inFlight[r.Key] = complete
	sim.schedule(sim.randomDelay(2), nil, func() {
		reply := e.serve(sim, r)
		serviceTime := sim.randomDelay(5)
		if e.mode == "slow" {
			serviceTime += 150 * time.Millisecond
		}
		sim.schedule(serviceTime, h, func() { complete(reply) })
	})
}

// abort handles a cancellation. Half of the cancelled attempts end as unknown,
// unless their reply arrives first. The endpoint runs the request all the
// same.
func (e *simulatedEndpoint) abort(sim *simulation, h *simulatedHost, k dispatch.Key) {
	if sim.chance(0.5) {
		complete := e.inFlight[k]
		sim.schedule(sim.randomDelay(3), h, func() {
			complete(dispatch.Reply{Key: k, Outcome: dispatch.Unknown, Code: result.Cancelled})
		})
	}
}

// serve runs or refuses an attempt that has reached the endpoint, and returns
// its reply.
func (e *simulatedEndpoint) serve(sim *simulation, r dispatch.Request) dispatch.Reply {
	switch {
	case e.mode == "shed" && sim.chance(0.5):
		return r.RefusedReply(result.EndpointShed)
	case e.mode == "leaving":
		return r.RefusedReply(result.EndpointLeaving)
	case e.mode == "gone" && r.Operation == dispatch.Search:
		return r.RefusedReply(result.SnapshotGone)
	}
	sim.recordRun(r)
	reply := dispatch.Reply{Key: r.Key, Endpoint: r.Endpoint, Snapshot: r.Snapshot, Range: r.Range}
	switch {
	case e.mode == "crash" || fingerprint("", r.Body) == poisonFingerprint:
		return r.UnknownReply(result.EndpointCrashed)
	case e.mode == "silent":
		return r.UnknownReply(result.ConnectionSilent)
	case e.mode == "fail":
		reply.Outcome, reply.Code = dispatch.Failed, result.EndpointFailed
	case r.Operation == dispatch.Submit:
		reply.Outcome, reply.Body = dispatch.OK, "outcome of "+r.Body
	default:
		reply.Outcome, reply.Hits = dispatch.OK, documentsInRange(r.Snapshot, r.Range)
		sim.recordServed(r)
	}
	return reply
}

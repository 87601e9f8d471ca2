package coordinator

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// simulatedEndpoint is an endpoint with a fault.
type simulatedEndpoint struct {
	mode     string
	inFlight map[dispatch.Key]func(dispatch.Reply)
}

var endpointModes = []string{"ok", "ok", "ok", "shed", "leaving", "gone", "crash", "silent", "fail", "slow"}

// recoverEndpoints ends the faults of all endpoints.
func (w *simulation) recoverEndpoints() {
	for _, e := range w.endpoints {
		e.mode = "ok"
	}
}

func (e *simulatedEndpoint) send(w *simulation, h *simulatedHost, r dispatch.Request) {
	completed := false
	complete := func(reply dispatch.Reply) {
		if !completed {
			completed = true
			reply.ServiceTime = time.Millisecond
			w.applyRelayActions(h, h.relay.Complete(w.now, reply))
		}
	}
	e.inFlight[r.Key] = complete
	w.schedule(w.randomDelay(2), nil, func() {
		reply := e.serve(w, r)
		took := w.randomDelay(5)
		if e.mode == "slow" {
			took += 150 * time.Millisecond
		}
		w.schedule(took, h, func() { complete(reply) })
	})
}

func (e *simulatedEndpoint) abort(w *simulation, h *simulatedHost, k dispatch.Key) {
	if w.chance(0.5) {
		complete := e.inFlight[k]
		w.schedule(w.randomDelay(3), h, func() {
			complete(dispatch.Reply{Key: k, Outcome: dispatch.Unknown, Code: result.Cancelled})
		})
	}
}

// serve runs or refuses a request that reached the endpoint.
func (e *simulatedEndpoint) serve(w *simulation, r dispatch.Request) dispatch.Reply {
	switch {
	case e.mode == "shed" && w.chance(0.5):
		return r.RefusedReply(result.EndpointShed)
	case e.mode == "leaving":
		return r.RefusedReply(result.EndpointLeaving)
	case e.mode == "gone" && r.Operation == dispatch.Search:
		return r.RefusedReply(result.SnapshotGone)
	}
	w.recordRun(r)
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
		w.recordServed(r)
	}
	return reply
}

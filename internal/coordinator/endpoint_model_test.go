package coordinator

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// endpointModel is an endpoint with a fault.
type endpointModel struct {
	mode     string
	inFlight map[dispatch.Key]func(dispatch.Reply)
}

var endpointModes = []string{"ok", "ok", "ok", "shed", "leaving", "gone", "crash", "silent", "fail", "slow"}

// recover ends the faults of all endpoints.
func (w *fleet) recover() {
	for _, e := range w.endpoints {
		e.mode = "ok"
	}
}

func (e *endpointModel) send(w *fleet, h *fleetHost, r dispatch.Request) {
	completed := false
	complete := func(reply dispatch.Reply) {
		if !completed {
			completed = true
			reply.ServiceTime = time.Millisecond
			w.relay(h, h.relay.Complete(w.now, reply))
		}
	}
	e.inFlight[r.Key] = complete
	w.after(w.delay(2), nil, func() {
		reply := e.serve(w, r)
		took := w.delay(5)
		if e.mode == "slow" {
			took += 150 * time.Millisecond
		}
		w.after(took, h, func() { complete(reply) })
	})
}

func (e *endpointModel) abort(w *fleet, h *fleetHost, k dispatch.Key) {
	if w.chance(0.5) {
		complete := e.inFlight[k]
		w.after(w.delay(3), h, func() {
			complete(dispatch.Reply{Key: k, Outcome: dispatch.Unknown, Code: result.Cancelled})
		})
	}
}

// serve runs or refuses a request that reached the endpoint.
func (e *endpointModel) serve(w *fleet, r dispatch.Request) dispatch.Reply {
	switch {
	case e.mode == "shed" && w.chance(0.5):
		return r.RefusedReply(result.EndpointShed)
	case e.mode == "leaving":
		return r.RefusedReply(result.EndpointLeaving)
	case e.mode == "gone" && r.Operation == dispatch.Search:
		return r.RefusedReply(result.SnapshotGone)
	}
	w.ran(r)
	reply := dispatch.Reply{Key: r.Key, Endpoint: r.Endpoint, Snapshot: r.Snapshot, Range: r.Range}
	switch {
	case e.mode == "crash" || fingerprint("", r.Body) == poison:
		return r.UnknownReply(result.EndpointCrashed)
	case e.mode == "silent":
		return r.UnknownReply(result.ConnectionSilent)
	case e.mode == "fail":
		reply.Outcome, reply.Code = dispatch.Failed, result.EndpointFailed
	case r.Operation == dispatch.Submit:
		reply.Outcome, reply.Body = dispatch.OK, "outcome of "+r.Body
	default:
		reply.Outcome, reply.Hits = dispatch.OK, documents(r.Snapshot, r.Range)
		w.served(r)
	}
	return reply
}

package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	maxRequestBytes = 1 << 20
	// budgetOverrun is by how much a request selected by Faults.LatePerMille exceeds
	// its time budget.
	budgetOverrun = 20 * time.Millisecond
)

// call is a search or submit that is being handled.
type call struct {
	request        endpointapi.Request
	faults         *Faults
	draws          requestDraws
	conn           *connection
	receivedAt     time.Time
	overrunsBudget bool
	// submit is set if the call is a submit. A submit must not be repeated, and it
	// runs to its end even if it is cancelled.
	submit bool
}

// search handles a search. It refuses snapshots and ranges that are not held.
func (e *Endpoint) search(w http.ResponseWriter, r *http.Request) {
	c, ok := e.acceptCall(w, r)
	if !ok {
		return
	}
	if code := e.snapshotRefusal(c); code != 0 {
		e.refuse(w, c, code)
		return
	}
	e.run(w, r, c, e.searchReply)
}

// submit handles a submit.
func (e *Endpoint) submit(w http.ResponseWriter, r *http.Request) {
	c, ok := e.acceptCall(w, r)
	if !ok {
		return
	}
	c.submit = true
	e.run(w, r, c, func(c *call) endpointapi.Reply {
		return endpointapi.Reply{Outcome: ExpectedOutcome(e.options.Service, c.request.Body)}
	})
}

// acceptCall reads and counts a request. If it is invalid or a fault refuses it,
// acceptCall replies and returns false.
func (e *Endpoint) acceptCall(w http.ResponseWriter, r *http.Request) (*call, bool) {
	c := &call{receivedAt: time.Now(), faults: e.faults.Load()}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(body, &c.request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	c.conn, _ = r.Context().Value(connectionKey{}).(*connection)
	c.draws = requestDraws{seed: e.options.Seed, sequence: uint64(e.sequence.Add(1))}
	c.overrunsBudget = c.draws.perMille(drawLate, c.faults.LatePerMille)
	e.requests.Add(1)
	if e.pastLeavingGrace() {
		e.afterLeaving.Add(1)
	}
	if code := faultRefusal(c); code != 0 {
		e.refuse(w, c, code)
		return nil, false
	}
	return c, true
}

// faultRefusal returns the code with which a fault refuses the call, or zero.
func faultRefusal(c *call) result.Code {
	switch {
	case c.faults.Leaving:
		return result.EndpointLeaving
	case c.faults.Cold:
		return result.EndpointCold
	case c.draws.perMille(drawShed, c.faults.ShedPerMille):
		return result.EndpointShed
	default:
		return 0
	}
}

// snapshotRefusal returns code 334 (result.SnapshotGone) if the endpoint does not
// hold the snapshot that c asks for, code 335 (result.RangeNotHeld) if it does not
// hold the whole range, and otherwise zero.
func (e *Endpoint) snapshotRefusal(c *call) result.Code {
	if c.faults.SnapshotGone {
		return result.SnapshotGone
	}
	for _, h := range e.HeldSnapshots() {
		if h.Snapshot == c.request.Snapshot {
			return rangeRefusal(h.Ranges, c.faults.Moved, c.request.Range)
		}
	}
	return result.SnapshotGone
}

// rangeRefusal returns code 335 (result.RangeNotHeld) unless the held ranges, less
// the moved ones, contain the whole range asked for.
func rangeRefusal(held, moved []keyrange.Range, asked keyrange.Range) result.Code {
	whole := []keyrange.Range{asked}
	if len(moved) > 0 {
		held = keyrange.Subtract(held, moved)
	}
	inside := func(h keyrange.Range) bool { return h.Start <= asked.Start && asked.End <= h.End }
	if slices.ContainsFunc(held, inside) || len(keyrange.Subtract(whole, held)) == 0 {
		return 0
	}
	return result.RangeNotHeld
}

// run waits for a slot, runs the call and sends the reply. A crash sends none.
func (e *Endpoint) run(w http.ResponseWriter, r *http.Request, c *call, reply func(*call) endpointapi.Reply) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(c.request.BudgetMS)*time.Millisecond)
	defer cancel()
	e.running.add(c.request.ID, cancel)
	defer e.running.remove(c.request.ID)
	if !e.acquireSlot(ctx) {
		e.refuse(w, c, result.EndpointShed)
		return
	}
	defer e.releaseSlot(time.Now())
	e.recordStart(c)
	if c.faults.CrashDuration > 0 && strings.Contains(c.request.Body, CrashMarker) {
		e.crash(c.faults.CrashDuration)
		return
	}
	if !e.simulateWork(ctx, c) {
		e.writeReply(w, c, endpointapi.StatusFailed, endpointapi.Reply{Code: result.Cancelled})
		return
	}
	if c.faults.WriteReply != nil {
		c.faults.WriteReply(r.Context(), w, c.request)
		return
	}
	e.sendResult(w, c, reply(c))
}

// sendResult sends the reply of a call that ran, subject to the faults of replies.
func (e *Endpoint) sendResult(w http.ResponseWriter, c *call, reply endpointapi.Reply) {
	if c.draws.perMille(drawFail, c.faults.FailPerMille) {
		e.writeReply(w, c, endpointapi.StatusFailed, endpointapi.Reply{Code: result.EndpointFailed})
		return
	}
	if c.conn != nil && c.draws.perMille(drawSilent, c.faults.SilentPerMille) {
		c.conn.silent.Store(true)
	}
	if c.conn != nil && c.draws.perMille(drawDuplicate, c.faults.DuplicatePerMille) {
		c.conn.duplicateNext.Store(true)
	}
	e.writeReply(w, c, endpointapi.StatusDone, reply)
}

// recordStart counts and records a call that starts to run.
func (e *Endpoint) recordStart(c *call) {
	e.started.Add(1)
	if e.options.RecordBodies {
		e.options.Recorder.addBody(c.request.Body)
	}
	if c.submit {
		e.options.Recorder.addRun(c.request.ID)
	}
}

// simulateWork waits for the service time of the call. It returns false if the call
// is a search that was cancelled or whose time budget ended first.
func (e *Endpoint) simulateWork(ctx context.Context, c *call) bool {
	d := e.serviceTime(c)
	if c.overrunsBudget {
		time.Sleep(time.Duration(c.request.BudgetMS)*time.Millisecond + budgetOverrun)
		return true
	}
	if c.submit {
		time.Sleep(d)
		return true
	}
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// serviceTime returns the duration of a call, including its faults.
func (e *Endpoint) serviceTime(c *call) time.Duration {
	mean := float64(e.options.ServiceTime)
	d := mean * (0.5 + float64(c.draws.draw(drawService)%1024)/1024)
	if c.faults.SlowFactor > 0 {
		d *= c.faults.SlowFactor
	}
	if c.draws.oneIn(drawDelay, c.faults.DelayOneIn) {
		d *= c.faults.DelayFactor
	}
	return time.Duration(d)
}

func (e *Endpoint) searchReply(c *call) endpointapi.Reply {
	snapshot := c.request.Snapshot
	if c.draws.perMille(drawOtherSnapshot, c.faults.OtherSnapshotPerMille) {
		snapshot--
	}
	hits, truncated := ExpectedHits(e.options.Service, snapshot, c.request.Range, c.request.Body, c.request.Limit)
	return endpointapi.Reply{Snapshot: snapshot, Hits: hits, Truncated: truncated}
}

// refuse counts a refusal and sends it.
func (e *Endpoint) refuse(w http.ResponseWriter, c *call, code result.Code) {
	e.refusedMu.Lock()
	e.refused[code]++
	e.refusedMu.Unlock()
	e.writeReply(w, c, endpointapi.StatusRefused, endpointapi.Reply{Code: code})
}

// writeReply sends a reply with the ID, the service time and the load report.
func (e *Endpoint) writeReply(w http.ResponseWriter, c *call, status int, reply endpointapi.Reply) {
	reply.ID = c.request.ID
	reply.ServiceUS = time.Since(c.receivedAt).Microseconds()
	reply.Load = e.loadReport(c.faults)
	writeJSON(w, status, reply)
}

// loadReport returns the load to report in replies and in the status.
func (e *Endpoint) loadReport(f *Faults) dispatch.Load {
	if f.MisleadingLoad {
		return dispatch.Load{Slots: 2 * e.options.Slots, Leaving: f.Leaving}
	}
	return dispatch.Load{InFlight: int(e.inFlight.Load()), Slots: e.options.Slots, Leaving: f.Leaving}
}

// cancel handles the cancellation of a request.
func (e *Endpoint) cancel(w http.ResponseWriter, r *http.Request) {
	var c endpointapi.Cancel
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.cancels.Add(1)
	e.running.cancel(c.ID)
	w.WriteHeader(http.StatusNoContent)
}

// status handles a request for the endpoint's status.
func (e *Endpoint) status(w http.ResponseWriter, _ *http.Request) {
	f := e.faults.Load()
	s := endpointapi.Status{Endpoint: e.options.ID, Load: e.loadReport(f), Cold: f.Cold, Snapshots: []uint64{}}
	for _, h := range e.HeldSnapshots() {
		s.Snapshots = append(s.Snapshots, h.Snapshot)
	}
	writeJSON(w, endpointapi.StatusDone, s)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

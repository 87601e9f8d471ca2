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
	// lateOverrun is how far a late reply overruns its budget.
	lateOverrun = 20 * time.Millisecond
)

// call is one search or submit while it is handled.
type call struct {
	request endpointapi.Request
	faults  *Faults
	draws   draws
	conn    *connection
	began   time.Time
	late    bool
	// submit tells that the call may not be repeated; it runs to its end.
	submit bool
}

func (e *Endpoint) search(w http.ResponseWriter, r *http.Request) {
	c, ok := e.begin(w, r)
	if !ok {
		return
	}
	if code := e.heldCode(c); code != 0 {
		e.refuse(w, c, code)
		return
	}
	e.run(w, r, c, e.searchReply)
}

func (e *Endpoint) submit(w http.ResponseWriter, r *http.Request) {
	c, ok := e.begin(w, r)
	if !ok {
		return
	}
	c.submit = true
	e.run(w, r, c, func(c *call) endpointapi.Reply {
		return endpointapi.Reply{Outcome: ExpectedOutcome(e.options.Service, c.request.Body)}
	})
}

// begin reads a request and refuses it where a fault says so.
func (e *Endpoint) begin(w http.ResponseWriter, r *http.Request) (*call, bool) {
	c := &call{began: time.Now(), faults: e.faults.Load()}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err == nil {
		err = json.Unmarshal(body, &c.request)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return nil, false
	}
	c.conn, _ = r.Context().Value(connectionKey{}).(*connection)
	c.draws = draws{seed: e.options.Seed, sequence: uint64(e.sequence.Add(1))}
	c.late = c.draws.perMille(drawLate, c.faults.LatePerMille)
	e.requests.Add(1)
	if e.leftLongAgo() {
		e.afterLeaving.Add(1)
	}
	if code := refusal(c); code != 0 {
		e.refuse(w, c, code)
		return nil, false
	}
	return c, true
}

// refusal returns the code that a fault refuses the call with, or zero.
func refusal(c *call) result.Code {
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

// heldCode returns 334 or 335 if the endpoint does not hold what c asks for.
func (e *Endpoint) heldCode(c *call) result.Code {
	if c.faults.SnapshotGone {
		return result.SnapshotGone
	}
	for _, h := range e.HeldSnapshots() {
		if h.Snapshot == c.request.Snapshot {
			return rangeCode(h.Ranges, c.faults.Moved, c.request.Range)
		}
	}
	return result.SnapshotGone
}

func rangeCode(held, moved []keyrange.Range, asked keyrange.Range) result.Code {
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

// run takes a slot, runs the call and replies.
func (e *Endpoint) run(w http.ResponseWriter, r *http.Request, c *call, reply func(*call) endpointapi.Reply) {
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(c.request.BudgetMS)*time.Millisecond)
	defer cancel()
	e.running.add(c.request.ID, cancel)
	defer e.running.remove(c.request.ID)
	if !e.takeSlot(ctx) {
		e.refuse(w, c, result.EndpointShed)
		return
	}
	defer e.releaseSlot(time.Now())
	e.record(c)
	if c.faults.CrashDuration > 0 && strings.Contains(c.request.Body, CrashMarker) {
		e.crash(c.faults.CrashDuration)
		return
	}
	if !e.work(ctx, c) {
		e.write(w, c, endpointapi.StatusFailed, endpointapi.Reply{Code: result.Cancelled})
		return
	}
	e.finish(w, c, reply(c))
}

func (e *Endpoint) finish(w http.ResponseWriter, c *call, reply endpointapi.Reply) {
	if c.draws.perMille(drawFail, c.faults.FailPerMille) {
		e.write(w, c, endpointapi.StatusFailed, endpointapi.Reply{Code: result.EndpointFailed})
		return
	}
	if c.conn != nil && c.draws.perMille(drawSilent, c.faults.SilentPerMille) {
		c.conn.silent.Store(true)
	}
	if c.conn != nil && c.draws.perMille(drawDuplicate, c.faults.DuplicatePerMille) {
		c.conn.duplicate.Store(true)
	}
	e.write(w, c, endpointapi.StatusDone, reply)
}

func (e *Endpoint) record(c *call) {
	e.ran.Add(1)
	if e.options.RecordBodies {
		e.options.Recorder.addBody(c.request.Body)
	}
	if c.submit {
		e.options.Recorder.addRun(c.request.ID)
	}
}

// work spends the service time; it reports false if the call is a search and was
// cancelled or its budget ended first.
func (e *Endpoint) work(ctx context.Context, c *call) bool {
	d := e.serviceTime(c)
	if c.late {
		time.Sleep(time.Duration(c.request.BudgetMS)*time.Millisecond + lateOverrun)
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

func (e *Endpoint) serviceTime(c *call) time.Duration {
	mean := float64(e.options.ServiceTime)
	d := mean * (0.5 + float64(c.draws.value(drawService)%1024)/1024)
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

func (e *Endpoint) refuse(w http.ResponseWriter, c *call, code result.Code) {
	e.refusedMu.Lock()
	e.refused[code]++
	e.refusedMu.Unlock()
	e.write(w, c, endpointapi.StatusRefused, endpointapi.Reply{Code: code})
}

func (e *Endpoint) write(w http.ResponseWriter, c *call, status int, reply endpointapi.Reply) {
	reply.ID = c.request.ID
	reply.ServiceUS = time.Since(c.began).Microseconds()
	reply.Load = e.load(c.faults)
	writeJSON(w, status, reply)
}

func (e *Endpoint) load(f *Faults) dispatch.Load {
	if f.MisleadingLoad {
		return dispatch.Load{Slots: 2 * e.options.Slots, Leaving: f.Leaving}
	}
	return dispatch.Load{InFlight: int(e.inFlight.Load()), Slots: e.options.Slots, Leaving: f.Leaving}
}

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

func (e *Endpoint) status(w http.ResponseWriter, _ *http.Request) {
	f := e.faults.Load()
	s := endpointapi.Status{Endpoint: e.options.ID, Load: e.load(f), Cold: f.Cold, Snapshots: []uint64{}}
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

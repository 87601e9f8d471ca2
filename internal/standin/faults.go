package standin

import (
	"time"

	"github.com/gypsumlug/gypsumlug/internal/keyrange"
)

// CrashMarker in the body of a request crashes an endpoint whose
// Faults.CrashFor is set.
const CrashMarker = "crash-endpoint"

// Faults tells how an endpoint misbehaves. The zero value has no fault. Shares
// are drawn from the endpoint's seed and the sequence number of the request.
type Faults struct {
	// DelayOneIn delays one request in so many; zero delays none.
	DelayOneIn int
	// DelayFactor multiplies the service time of a delayed request.
	DelayFactor float64
	// ShedPerMille refuses this share of requests with code 331.
	ShedPerMille int
	// Leaving refuses new requests with code 332 and says so in load reports.
	Leaving bool
	// Cold refuses requests with code 333.
	Cold bool
	// SlowFactor multiplies the service time of every request, as an endpoint
	// with cold caches does; zero means one.
	SlowFactor float64
	// CrashDuration is how long the endpoint is down after a request that contains
	// CrashMarker; zero ignores the marker.
	CrashDuration time.Duration
	// SilentPerMille makes this share of requests run and then silences their
	// connection for good.
	SilentPerMille int
	// MisleadingLoad reports an idle endpoint with twice its slots.
	MisleadingLoad bool
	// SnapshotGone refuses every search with code 334.
	SnapshotGone bool
	// Moved refuses searches that overlap these ranges with code 335.
	Moved []keyrange.Range
	// Lost closes the listener and all connections until it is unset.
	Lost bool
	// FailPerMille makes this share of requests run and fail with code 500.
	FailPerMille int
	// OtherSnapshotPerMille answers this share of searches from the snapshot
	// before the one asked for.
	OtherSnapshotPerMille int
	// DuplicatePerMille sends this share of replies twice.
	DuplicatePerMille int
	// LatePerMille makes this share of requests overrun their budget and ignore
	// cancellation.
	LatePerMille int
	// ConnectCost is added to the cost of a new connection.
	ConnectCost time.Duration
}

// drawKind separates the draws of the faults of one request.
type drawKind uint64

const (
	drawDelay drawKind = iota + 1
	drawShed
	drawSilent
	drawFail
	drawOtherSnapshot
	drawDuplicate
	drawLate
	drawService
)

// requestDraws decides the faults of one request.
type requestDraws struct {
	seed, sequence uint64
}

func (d requestDraws) perMille(kind drawKind, share int) bool {
	return share > 0 && d.draw(kind)%1000 < uint64(share)
}

func (d requestDraws) oneIn(kind drawKind, n int) bool {
	return n > 0 && d.draw(kind)%uint64(n) == 0
}

func (d requestDraws) draw(kind drawKind) uint64 {
	return hashPair(d.seed, hashPair(d.sequence, uint64(kind)))
}

package standin

import (
	"context"
	"net/http"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/endpointapi"
	"github.com/gypsumlug/gypsumlug/internal/keyrange"
)

// CrashMarker in the body of a request makes an endpoint crash if its
// Faults.CrashDuration is set.
const CrashMarker = "crash-endpoint"

// Faults selects the faults that an endpoint injects. The zero value has none.
// Faults that affect a share of the requests are decided by a hash of the
// endpoint's seed and the sequence number of the request.
type Faults struct {
	// DelayOneIn delays one in DelayOneIn requests on average; zero delays none.
	DelayOneIn int
	// DelayFactor multiplies the service time of a delayed request.
	DelayFactor float64
	// ShedPerMille refuses this share of requests with code 331
	// (result.EndpointShed).
	ShedPerMille int
	// Leaving refuses new requests with code 332 (result.EndpointLeaving) and sets
	// Leaving in load reports.
	Leaving bool
	// Cold refuses requests with code 333 (result.EndpointCold).
	Cold bool
	// SlowFactor multiplies the service time of every request, like that of an
	// endpoint with cold caches; zero means one.
	SlowFactor float64
	// CrashDuration is how long the endpoint is down after a request whose body
	// contains CrashMarker; zero ignores the marker.
	CrashDuration time.Duration
	// SilentPerMille runs this share of requests and makes their connection silent
	// before the reply.
	SilentPerMille int
	// MisleadingLoad makes load reports show no request in flight and twice the
	// number of slots.
	MisleadingLoad bool
	// SnapshotGone refuses every search with code 334 (result.SnapshotGone).
	SnapshotGone bool
	// Moved refuses searches that overlap these ranges with code 335
	// (result.RangeNotHeld).
	Moved []keyrange.Range
	// Lost closes the listener and all connections. The endpoint listens again when
	// it is unset.
	Lost bool
	// FailPerMille runs this share of requests and answers them with code 500
	// (result.EndpointFailed).
	FailPerMille int
	// OtherSnapshotPerMille answers this share of searches from the snapshot
	// before the one asked for.
	OtherSnapshotPerMille int
	// DuplicatePerMille sends this share of replies twice, or only the beginning if
	// a reply exceeds the write buffer of the HTTP server.
	DuplicatePerMille int
	// LatePerMille makes this share of requests run beyond their time budget and
	// ignore cancellation.
	LatePerMille int
	// ConnectCost is added to EndpointOptions.ConnectCost for new connections.
	ConnectCost time.Duration
	// WriteReply, if not nil, writes the reply to each request that ran. ctx ends with its
	// connection.
	WriteReply func(ctx context.Context, w http.ResponseWriter, r endpointapi.Request)
}

// drawKind distinguishes the random draws of one request, so that they are
// independent of each other.
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

// requestDraws makes the random draws of one request. They depend only on the seed
// and the sequence number.
type requestDraws struct {
	seed, sequence uint64
}

// perMille returns true for the given share of requests, in thousandths.
func (d requestDraws) perMille(kind drawKind, share int) bool {
	return share > 0 && d.draw(kind)%1000 < uint64(share)
}

// oneIn returns true for one in n requests on average, and for none if n is zero.
func (d requestDraws) oneIn(kind drawKind, n int) bool {
	return n > 0 && d.draw(kind)%uint64(n) == 0
}

func (d requestDraws) draw(kind drawKind) uint64 {
	return hashPair(d.seed, hashPair(d.sequence, uint64(kind)))
}

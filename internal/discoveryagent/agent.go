// Package discoveryagent drives a host's discovery machine and executes its
// actions: calls to the store, heartbeats in UDP datagrams, and requests for the
// state of other hosts over TCP. It also answers the requests of other hosts, for
// state and for parts of queries.
package discoveryagent

import (
	"context"
	"encoding/binary"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/gypsumlug/gypsumlug/internal/callerconn"
	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/overload"
	"github.com/gypsumlug/gypsumlug/internal/peerlink"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/ratelimit"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// Store reads the platform's store.
type Store interface {
	// All returns the configuration and all replicas, all of one epoch. It fails as soon as
	// the store is silent for too long in one of its calls.
	All(ctx context.Context) (discovery.StoreResponse, error)
	// Changes waits for a change after a revision of the store's epoch, at most for wait,
	// and returns all changes after it. If the store was restored since, the response has
	// another epoch, and is of no use. It fails with discovery.ErrHistoryCompacted if the store no
	// longer has them, and once the store is silent for too long after wait.
	Changes(ctx context.Context, after uint64, wait time.Duration) (discovery.StoreResponse, error)
}

// eventStateChange is the event of log lines about changes of the host's state.
const eventStateChange = "belief"

// readTimeout bounds a read of the store, in addition to the time that the store may wait for
// a change. It is far longer than the silence that ends a read in package platform, since a
// large answer takes a host with little processor time long. auditTimeout bounds an audit,
// for which the host has no need and which delays the reading of changes. fetchTimeout bounds
// a request for a peer's state.
const (
	readTimeout  = 5 * time.Second
	auditTimeout = 700 * time.Millisecond
	fetchTimeout = 500 * time.Millisecond
)

// Options configures an Agent.
type Options struct {
	// PeerAddress is the address on which the host listens for peers, over UDP and
	// TCP.
	PeerAddress string
	// Start identifies this run of the host.
	Start uint64
	Store Store
	// Now returns the time since the start of the process, by a clock that advances
	// while the host is suspended.
	Now func() time.Duration
	// Publish is called with the view and the number of hosts among which limits are
	// divided, whenever one of them changes and there is a view.
	Publish func(v *routing.View, hosts int)
	// PublishPeers is called with the other hosts when they change.
	PublishPeers func([]split.Peer)
	// PublishIsolation is called when the data centre appears to be cut off from all
	// others, and when it no longer does.
	PublishIsolation func(isolated bool)
	// HeardFrom is called with the data centre of each host that sends a heartbeat.
	HeardFrom func(dataCentre string)
	// PeerClient sends requests to other hosts, and AnswerPart answers their requests
	// for parts of queries.
	PeerClient *peerlink.Client
	// PeerGuard bounds the connections of other hosts; nil means no bounds.
	PeerGuard  *callerconn.Guard
	AnswerPart func(context.Context, *split.Request) *split.Reply
	// Suspects returns the requests suspected of crashing replicas, for inclusion in
	// heartbeats. RecordSuspects is called with those in other hosts' heartbeats.
	Suspects       func() []peerwire.SuspectHint
	RecordSuspects func([]peerwire.SuspectHint)
	// RateLimits returns the rate limits of replicas, for inclusion in heartbeats.
	// RecordRateLimits is called with those in other hosts' heartbeats.
	RateLimits       func() []ratelimit.Hint
	RecordRateLimits func([]ratelimit.Hint)
	// Leaving returns the replicas that said that they leave, for inclusion in
	// heartbeats. RecordLeaving is called with those in other hosts' heartbeats.
	Leaving       func() []string
	RecordLeaving func([]string)
	// Failures returns outcomes of attempts at replicas that fail to answer, for inclusion
	// in heartbeats. RecordFailures is called with those in other hosts' heartbeats.
	Failures       func() []peerwire.FailureHint
	RecordFailures func([]peerwire.FailureHint)
	// Overload returns the hints about load, for inclusion in heartbeats. RecordOverload is
	// called with those in other hosts' heartbeats.
	Overload       func() []overload.Hint
	RecordOverload func([]overload.Hint)
	// News returns all that this host has learned, for a host that has just started, and
	// RecordNews is called with what another host has, after Publish with the view that
	// came with it.
	News       func() *discovery.News
	RecordNews func(*discovery.News)
	// EvacuationBound returns the age from which the news of an evacuation is late; zero means
	// never. It may be nil.
	EvacuationBound func() time.Duration
	// CountDifference is called when this host has other replicas than a peer at the same
	// revision, and fetches the peer's listing.
	CountDifference func()
	// CountHeartbeat is called with the size of each heartbeat that is sent, in bytes.
	CountHeartbeat func(remote bool, size int)
	// CountEpoch is called when this host enters a new epoch of the store.
	CountEpoch func()
	Log        zerolog.Logger
}

// Agent drives the discovery machine of one host. Its machine, view, host count and
// shared configuration are accessed only by the goroutine of Run, to which other
// goroutines send events.
type Agent struct {
	opts      Options
	machine   *discovery.Machine
	events    chan func(now time.Duration) discovery.Actions
	socket    *net.UDPConn
	listener  net.Listener
	server    *peerlink.Server
	view      *routing.View
	hostCount int
	// sharedConfig is the configuration that was sent to other hosts last.
	sharedConfig *peerlink.SharedConfig
}

// New returns an agent. Listen opens its sockets, and Run starts it.
func New(opts Options, machine *discovery.Machine) *Agent {
	a := &Agent{opts: opts, machine: machine, events: make(chan func(time.Duration) discovery.Actions), hostCount: 1}
	a.server = peerlink.NewGuardedServer(a, opts.PeerGuard)
	return a
}

// PartsInProgress returns the number of parts of other hosts' queries that are not yet
// answered.
func (a *Agent) PartsInProgress() int { return a.server.PartsInProgress() }

// Run serves peers and drives the machine until ctx ends. Listen must have been called.
func (a *Agent) Run(ctx context.Context) {
	context.AfterFunc(ctx, func() { _ = a.socket.Close() })
	go a.receiveHeartbeats(ctx)
	go a.server.Serve(ctx, a.listener)
	ticker := time.NewTicker(discovery.TickInterval)
	defer ticker.Stop()
	a.execute(ctx, a.machine.Tick(a.opts.Now()))
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-a.events:
			a.execute(ctx, event(a.opts.Now()))
		case <-ticker.C:
			a.execute(ctx, a.machine.Tick(a.opts.Now()))
		}
	}
}

// Leave announces that the host is stopping.
func (a *Agent) Leave(ctx context.Context) { a.sendEvent(ctx, a.machine.Leave) }

// SetSeeds replaces the seed addresses.
func (a *Agent) SetSeeds(ctx context.Context, seeds []string) {
	a.sendEvent(ctx, func(time.Duration) discovery.Actions {
		a.machine.SetSeeds(seeds)
		return discovery.Actions{}
	})
}

// sendEvent passes an event to the goroutine of Run.
func (a *Agent) sendEvent(ctx context.Context, event func(time.Duration) discovery.Actions) {
	select {
	case a.events <- event:
	case <-ctx.Done():
	}
}

func (a *Agent) execute(ctx context.Context, actions discovery.Actions) {
	for _, outgoing := range actions.Heartbeats {
		a.sendHeartbeat(outgoing)
	}
	if actions.Read != nil {
		go a.readStore(ctx, *actions.Read)
	}
	if actions.FetchFrom != "" {
		go a.fetchFromPeer(ctx, actions.FetchFrom, actions.FetchRequest)
	}
	a.logChanges(actions.Changes)
	a.publishChanges(actions)
}

func (a *Agent) publishChanges(actions discovery.Actions) {
	if actions.Peers != nil {
		a.opts.PublishPeers(actions.Peers)
	}
	if actions.Isolation != nil {
		a.opts.PublishIsolation(*actions.Isolation)
	}
	if actions.HostCount > 0 {
		a.hostCount = actions.HostCount
	}
	if actions.View != nil {
		a.view = actions.View
	}
	if a.view != nil && (actions.View != nil || actions.HostCount > 0) {
		a.opts.Publish(a.view, a.hostCount)
	}
}

func (a *Agent) logChanges(changes []discovery.Change) {
	for _, c := range changes {
		if c.Kind == discovery.ChangeDiverged {
			a.opts.CountDifference()
		}
		if c.Kind == discovery.ChangeStoreEpoch {
			a.opts.CountEpoch()
		}
		line := a.opts.Log.Info().Str("event", eventStateChange)
		if c.Source != "" {
			line.Str("source", c.Source)
		}
		if c.Version > 0 {
			line.Uint64("version", c.Version)
		}
		if c.Epoch > 0 {
			line.Uint64("epoch", c.Epoch)
		}
		if c.Revision > 0 {
			line.Uint64("revision", c.Revision)
		}
		if c.ReplicaCount > 0 {
			line.Int("replicas", c.ReplicaCount)
		}
		if c.Digest > 0 {
			line.Hex("digest", binary.BigEndian.AppendUint64(nil, c.Digest))
		}
		if c.DataCentre != "" {
			line.Str("evacuated", c.DataCentre).Dur("age_ms", c.Age).Bool("late", a.isLate(c.Age))
		}
		if c.HostCount > 0 {
			line.Int("hosts", c.HostCount)
		}
		line.Err(c.Err).Msg(string(c.Kind))
	}
}

// isLate reports whether the news of an evacuation is older than it may be.
func (a *Agent) isLate(age time.Duration) bool {
	if a.opts.EvacuationBound == nil {
		return false
	}
	bound := a.opts.EvacuationBound()
	return bound > 0 && age > bound
}

// readLimit returns the time that a read of the store may take.
func readLimit(request discovery.ReadRequest) time.Duration {
	if request.Audit {
		return auditTimeout
	}
	return request.Wait + readTimeout
}

// readStore reads the store and passes the result to the machine.
func (a *Agent) readStore(ctx context.Context, request discovery.ReadRequest) {
	result := discovery.ReadResult{Request: request, Started: a.opts.Now()}
	callCtx, cancel := context.WithTimeout(ctx, readLimit(request))
	defer cancel()
	var response discovery.StoreResponse
	if request.After == 0 {
		response, result.Err = a.opts.Store.All(callCtx)
	} else {
		response, result.Err = a.opts.Store.Changes(callCtx, request.After, request.Wait)
	}
	result.Config, result.Entries = response.Config, response.Entries
	result.Epoch, result.Revision = response.Epoch, response.Revision
	result.Evacuations = response.Evacuations
	a.sendEvent(ctx, func(now time.Duration) discovery.Actions { return a.machine.HandleReadResult(now, result) })
}

// fetchFromPeer requests a peer's state and passes the result to the machine. The news with
// it is recorded once the view that follows from the state has been published, since what
// is said of replicas counts for those of the view only.
func (a *Agent) fetchFromPeer(ctx context.Context, from string, request discovery.StateRequest) {
	callCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	state, err := a.fetchState(callCtx, from, &request)
	a.sendEvent(ctx, func(now time.Duration) discovery.Actions { return a.machine.HandleState(now, from, state, err) })
	if err != nil || state.News == nil {
		return
	}
	a.sendEvent(ctx, func(time.Duration) discovery.Actions {
		a.opts.RecordNews(state.News)
		return discovery.Actions{}
	})
}

// Package discoveryagent steps a host's discovery machine and carries out its actions:
// calls to the store, heartbeats in datagrams, and state over TCP.
package discoveryagent

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/peerlink"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/routing"
	"github.com/gypsumlug/gypsumlug/internal/split"
)

// Store reads what the platform publishes.
type Store interface {
	// All reads everything.
	All(ctx context.Context) (discovery.StoreResponse, error)
	// Changes waits for a change after a revision and returns all changes. It
	// fails with discovery.ErrHistoryGone if the store no longer has them.
	Changes(ctx context.Context, after uint64, wait time.Duration) (discovery.StoreResponse, error)
}

// eventBelief marks the log lines that tell what the host believes.
const eventBelief = "belief"

// Times after which calls are given up.
const (
	readTimeout  = 700 * time.Millisecond
	fetchTimeout = 500 * time.Millisecond
)

// Options configure a Keeper.
type Options struct {
	// PeerAddress is the peer address, where the host listens with UDP and TCP.
	PeerAddress string
	Start       uint64
	Store       Store
	// Now is a clock that counts suspension, since the start of the process.
	Now func() time.Duration
	// Publish takes each new view, with the number of hosts that share limits.
	Publish func(v *routing.View, hosts int)
	// PublishPeers takes the other hosts, when they change.
	PublishPeers func([]split.Peer)
	// Peers asks other hosts, and Part answers them for parts of queries.
	Peers      *peerlink.Client
	AnswerPart func(context.Context, *split.Request) *split.Reply
	// Suspects returns what heartbeats tell of requests that may crash replicas, and
	// TakeSuspects takes what others tell.
	Suspects       func() []peerwire.SuspectHint
	RecordSuspects func([]peerwire.SuspectHint)
	Log            zerolog.Logger
}

// Agent steps the machine of one host. All its fields belong to the goroutine
// of Run; other goroutines send it events.
type Agent struct {
	opts    Options
	machine *discovery.Machine
	events  chan func(now time.Duration) discovery.Actions
	socket  *net.UDPConn
	view    *routing.View
	hosts   int
}

// New returns a keeper; Run starts it.
func New(opts Options, machine *discovery.Machine) *Agent {
	return &Agent{opts: opts, machine: machine, events: make(chan func(time.Duration) discovery.Actions), hosts: 1}
}

// Run keeps the view current until ctx ends.
func (k *Agent) Run(ctx context.Context) error {
	if err := k.listen(ctx); err != nil {
		return err
	}
	ticker := time.NewTicker(discovery.TickInterval)
	defer ticker.Stop()
	k.carryOut(ctx, k.machine.Tick(k.opts.Now()))
	for {
		select {
		case <-ctx.Done():
			return nil
		case step := <-k.events:
			k.carryOut(ctx, step(k.opts.Now()))
		case <-ticker.C:
			k.carryOut(ctx, k.machine.Tick(k.opts.Now()))
		}
	}
}

// Leave announces that the host is stopping.
func (k *Agent) Leave(ctx context.Context) { k.send(ctx, k.machine.Leave) }

// SetSeeds replaces the seeds.
func (k *Agent) SetSeeds(ctx context.Context, seeds []string) {
	k.send(ctx, func(time.Duration) discovery.Actions {
		k.machine.SetSeeds(seeds)
		return discovery.Actions{}
	})
}

// send hands an event to the goroutine of Run.
func (k *Agent) send(ctx context.Context, step func(time.Duration) discovery.Actions) {
	select {
	case k.events <- step:
	case <-ctx.Done():
	}
}

func (k *Agent) carryOut(ctx context.Context, a discovery.Actions) {
	for _, o := range a.Send {
		k.sendHello(o)
	}
	if a.Read != nil {
		go k.read(ctx, *a.Read)
	}
	if a.Fetch != "" {
		go k.fetch(ctx, a.Fetch, a.Request)
	}
	k.logChanges(a.Changed)
	k.publish(a)
}

func (k *Agent) publish(a discovery.Actions) {
	if a.Peers != nil {
		k.opts.PublishPeers(a.Peers)
	}
	if a.Hosts > 0 {
		k.hosts = a.Hosts
	}
	if a.View != nil {
		k.view = a.View
	}
	if k.view != nil && (a.View != nil || a.Hosts > 0) {
		k.opts.Publish(k.view, k.hosts)
	}
}

func (k *Agent) logChanges(changes []discovery.Change) {
	for _, c := range changes {
		line := k.opts.Log.Info().Str("event", eventBelief)
		if c.Source != "" {
			line.Str("source", c.Source)
		}
		if c.Version > 0 {
			line.Uint64("version", c.Version)
		}
		if c.Revision > 0 {
			line.Uint64("revision", c.Revision)
		}
		if c.Replicas > 0 {
			line.Int("replicas", c.Replicas)
		}
		if c.Hosts > 0 {
			line.Int("hosts", c.Hosts)
		}
		line.Err(c.Err).Msg(string(c.Kind))
	}
}

// read calls the store.
func (k *Agent) read(ctx context.Context, r discovery.Read) {
	result := discovery.ReadResult{Read: r, Started: k.opts.Now()}
	call, cancel := context.WithTimeout(ctx, r.Wait+readTimeout)
	defer cancel()
	var reading discovery.StoreResponse
	if r.After == 0 {
		reading, result.Err = k.opts.Store.All(call)
	} else {
		reading, result.Err = k.opts.Store.Changes(call, r.After, r.Wait)
	}
	result.Config, result.Entries, result.Revision = reading.Config, reading.Entries, reading.Revision
	k.send(ctx, func(now time.Duration) discovery.Actions { return k.machine.ReadDone(now, result) })
}

// fetch asks a peer for its state.
func (k *Agent) fetch(ctx context.Context, from string, request discovery.StateRequest) {
	call, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	state, err := k.fetchState(call, from, &request)
	k.send(ctx, func(now time.Duration) discovery.Actions { return k.machine.Fetched(now, from, state, err) })
}

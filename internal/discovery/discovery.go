// Package discovery keeps a host's view of the routes and replicas current with
// the platform's store.
//
// One goroutine owns the state: it takes what the readers deliver, folds it into
// a catalog and publishes immutable views. Two readers call the store: one
// follows the configuration, the other the replicas. The version of the
// configuration in force never goes back.
package discovery

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/gypsumlug/gypsumlug/internal/catalog"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// ErrHistoryGone tells that the store no longer has the changes since a revision.
var ErrHistoryGone = errors.New("the store's history is gone")

// Store reads what the platform publishes.
type Store interface {
	// Config returns the newest configuration, or nil if there is none, and its
	// revision.
	Config(ctx context.Context) (*routing.Config, uint64, error)
	// WatchConfig waits for a configuration newer than a revision. It returns nil
	// if none came in time, and the revision to go on from.
	WatchConfig(ctx context.Context, after uint64, wait time.Duration) (*routing.Config, uint64, error)
	// Replicas lists all replicas.
	Replicas(ctx context.Context) ([]catalog.Entry, uint64, error)
	// ReplicaChanges returns the changes after a revision.
	ReplicaChanges(ctx context.Context, after uint64) ([]catalog.Entry, uint64, error)
}

// Timing of the readers.
const (
	// DefaultPoll is the time between two reads of the replicas.
	DefaultPoll = time.Second
	// configWait is how long a watch of the configuration waits.
	configWait = 10 * time.Second
	// watchReserve is the time that an answer may take beyond the wait.
	watchReserve = 2 * time.Second
	callTimeout  = 1500 * time.Millisecond
	minRetry     = 100 * time.Millisecond
	maxRetry     = 800 * time.Millisecond
	tick         = 200 * time.Millisecond
)

// Options configure a Keeper.
type Options struct {
	Store Store
	// Now is the monotonic time since the start of the process.
	Now func() time.Duration
	// Publish takes each new view.
	Publish func(*routing.View)
	Log     zerolog.Logger
	// Poll is the time between two reads of the replicas; zero means DefaultPoll.
	Poll time.Duration
}

// Keeper keeps the view current.
type Keeper struct {
	opts    Options
	configs chan *routing.Config
	changes chan replicaChange
	catalog *catalog.Catalog
	config  *routing.Config
}

// replicaChange is one answer of the store.
type replicaChange struct {
	whole    bool
	revision uint64
	entries  []catalog.Entry
}

// New returns a keeper; Run starts it.
func New(opts Options) *Keeper {
	if opts.Poll == 0 {
		opts.Poll = DefaultPoll
	}
	return &Keeper{
		opts:    opts,
		configs: make(chan *routing.Config),
		changes: make(chan replicaChange),
		catalog: catalog.New(),
	}
}

// Run keeps the view current until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	go k.followConfig(ctx)
	go k.followReplicas(ctx)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case c := <-k.configs:
			k.takeConfig(c)
		case c := <-k.changes:
			k.takeReplicas(c)
		case <-ticker.C:
			if k.catalog.Tick(k.opts.Now()) {
				k.publish()
			}
		}
	}
}

func (k *Keeper) takeConfig(c *routing.Config) {
	if k.config != nil && c.Version <= k.config.Version {
		return
	}
	k.config = c
	k.opts.Log.Info().Uint64("version", c.Version).Int("routes", len(c.Routes)).Int("services", len(c.Services)).Msg("configuration in force")
	k.publish()
}

func (k *Keeper) takeReplicas(c replicaChange) {
	changed := false
	if c.whole {
		changed = k.catalog.List(k.opts.Now(), c.revision, c.entries)
	} else {
		changed = k.catalog.Apply(k.opts.Now(), c.revision, c.entries)
	}
	if changed {
		k.publish()
	}
}

// publish hands out a view once both halves are known.
func (k *Keeper) publish() {
	if k.config == nil || !k.catalog.Known() {
		return
	}
	k.opts.Publish(routing.NewView(k.config, k.catalog.Replicas(), k.catalog.Read()))
}

// followConfig reads the configuration and waits for newer ones.
func (k *Keeper) followConfig(ctx context.Context) {
	var revision uint64
	lost := backoff{log: k.opts.Log, what: "configuration"}
	for ctx.Err() == nil {
		c, next, err := k.readConfig(ctx, revision)
		if err != nil {
			if errors.Is(err, ErrHistoryGone) {
				revision = 0
			}
			lost.failed(ctx, err)
			continue
		}
		lost.succeeded()
		revision = max(revision, next)
		if c == nil {
			continue
		}
		select {
		case k.configs <- c:
		case <-ctx.Done():
		}
	}
}

func (k *Keeper) readConfig(ctx context.Context, after uint64) (*routing.Config, uint64, error) {
	if after == 0 {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		return k.opts.Store.Config(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, configWait+watchReserve)
	defer cancel()
	return k.opts.Store.WatchConfig(ctx, after, configWait)
}

// followReplicas lists the replicas and then reads what changed.
func (k *Keeper) followReplicas(ctx context.Context) {
	var revision uint64
	lost := backoff{log: k.opts.Log, what: "replicas"}
	for ctx.Err() == nil {
		change, err := k.readReplicas(ctx, revision)
		if err != nil {
			if errors.Is(err, ErrHistoryGone) {
				revision = 0
			}
			lost.failed(ctx, err)
			continue
		}
		lost.succeeded()
		revision = max(revision, change.revision)
		select {
		case k.changes <- change:
		case <-ctx.Done():
		}
		sleep(ctx, k.opts.Poll)
	}
}

func (k *Keeper) readReplicas(ctx context.Context, after uint64) (replicaChange, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if after == 0 {
		entries, revision, err := k.opts.Store.Replicas(ctx)
		return replicaChange{whole: true, revision: revision, entries: entries}, err
	}
	entries, revision, err := k.opts.Store.ReplicaChanges(ctx, after)
	return replicaChange{revision: revision, entries: entries}, err
}

// backoff waits between failed calls and says when a dependency is lost and
// regained.
type backoff struct {
	log  zerolog.Logger
	what string
	wait time.Duration
}

func (b *backoff) failed(ctx context.Context, err error) {
	if b.wait == 0 {
		b.log.Warn().Str("reads", b.what).Err(err).Msg("store lost")
	}
	b.wait = min(max(2*b.wait, minRetry), maxRetry)
	sleep(ctx, b.wait)
}

func (b *backoff) succeeded() {
	if b.wait > 0 {
		b.log.Info().Str("reads", b.what).Msg("store regained")
	}
	b.wait = 0
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

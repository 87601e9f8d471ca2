// Package configstore reads the product's own configuration where operators
// publish it: a manifest and its documents, as docs/PLATFORM.md describes.
// Nothing is ever written.
package configstore

import (
	"context"
	"errors"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// DefaultTimeout is the default of Options.Timeout.
const DefaultTimeout = 2 * time.Second

// The calls, as Options.OnCall names them.
const (
	CallManifest = "manifest"
	CallWatch    = "watch"
	CallDocument = "document"
)

// Names of published values.
const (
	// ManifestName is the name of the current manifest.
	ManifestName = "manifest"
	// DocumentPrefix is followed by the SHA-256 of a document in hexadecimal.
	DocumentPrefix = "documents/"
)

// ErrHistoryCompacted tells that a store no longer has the changes after a version.
var ErrHistoryCompacted = errors.New("the history of changes is gone")

// Value is what a store holds under a name.
type Value struct {
	// Data are the bytes, nil if there is no value or, from Await, no change.
	Data []byte
	// Version is the store's version when it answered, to await changes from.
	Version uint64
}

// Store reads values by name. It is safe for concurrent use.
type Store interface {
	Value(ctx context.Context, name string) (Value, error)
	// Await waits until a value changes after a version, at most for wait. It fails
	// with ErrHistoryGone if the store cannot tell.
	Await(ctx context.Context, name string, after uint64, wait time.Duration) (Value, error)
	// Close ends idle connections.
	Close()
}

// CallHook is told of every call: its name and its code, zero for success.
type CallHook func(call string, code result.Code)

// Options configure a Client.
type Options struct {
	// Stores are clients of the same store at several addresses.
	Stores []Store
	// Timeout bounds one call, without the wait of a watch. Zero means
	// DefaultTimeout.
	Timeout time.Duration
	// OnCall counts calls; it may be nil. It must be safe for concurrent use.
	OnCall CallHook
}

// Client reads the configuration. A call begins with the store that answered
// last, and tries each at most once. It is safe for concurrent use.
type Client struct {
	options   Options
	preferred atomic.Uint32

	mu   sync.Mutex
	read position
}

// position is how far the manifest was read.
type position struct {
	// version is the store's, zero before the first reading.
	version uint64
	// revision is the one of the manifest read last.
	revision config.Revision
}

// unreadable is the revision of a manifest that could not be parsed: it is above
// every other, so that it is read again.
const unreadable = config.Revision(math.MaxUint64)

// New returns a client.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	return &Client{options: o}
}

// Close ends idle connections.
func (c *Client) Close() {
	for _, s := range c.options.Stores {
		s.Close()
	}
}

// Manifest returns the bytes of the current manifest.
func (c *Client) Manifest(ctx context.Context) ([]byte, error) {
	v, err := c.value(ctx, CallManifest, ManifestName)
	if err != nil {
		return nil, err
	}
	c.note(v)
	return v.Data, nil
}

// Watch waits for a manifest other than the one read last, at most for wait, and
// returns nil if there is none. It does not wait if the revision that was read
// last is above after, since its reader did not take it.
func (c *Client) Watch(ctx context.Context, after config.Revision, wait time.Duration) ([]byte, error) {
	from := c.position()
	if from.version == 0 || from.revision > after {
		v, err := c.value(ctx, CallWatch, ManifestName)
		if err != nil {
			return nil, err
		}
		if from = c.note(v); from.revision > after {
			return v.Data, nil
		}
	}
	v, err := c.await(ctx, from.version, wait)
	if errors.Is(err, ErrHistoryCompacted) {
		v, err = c.value(ctx, CallWatch, ManifestName)
	}
	if err != nil {
		return nil, err
	}
	c.note(v)
	return v.Data, nil
}

// Document returns the bytes of the document with a hash.
func (c *Client) Document(ctx context.Context, hash string) ([]byte, error) {
	v, err := c.value(ctx, CallDocument, DocumentPrefix+hash)
	return v.Data, err
}

func (c *Client) position() position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read
}

// note keeps how far the manifest was read.
func (c *Client) note(v Value) position {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read.version = max(c.read.version, v.Version)
	if v.Data != nil {
		c.read.revision = revisionOf(v.Data)
	}
	return c.read
}

func revisionOf(manifest []byte) config.Revision {
	m, err := config.ParseManifest(manifest)
	if err != nil {
		return unreadable
	}
	return m.Revision
}

func (c *Client) value(ctx context.Context, call, name string) (Value, error) {
	return c.try(ctx, call, c.options.Timeout, func(ctx context.Context, s Store) (Value, error) {
		v, err := s.Value(ctx, name)
		if err == nil && v.Data == nil {
			err = result.Errorf(result.PlatformUnavailable, "%s is not published", name)
		}
		return v, err
	})
}

func (c *Client) await(ctx context.Context, after uint64, wait time.Duration) (Value, error) {
	return c.try(ctx, CallWatch, wait+c.options.Timeout, func(ctx context.Context, s Store) (Value, error) {
		return s.Await(ctx, ManifestName, after, wait)
	})
}

// try asks the stores in turn until one answers.
func (c *Client) try(ctx context.Context, call string, timeout time.Duration, ask func(context.Context, Store) (Value, error)) (Value, error) {
	count := uint32(len(c.options.Stores))
	err := error(result.Errorf(result.PlatformUnavailable, "no address is set"))
	first := c.preferred.Load()
	for i := range count {
		index := (first + i) % count
		var v Value
		v, err = c.ask(ctx, call, timeout, c.options.Stores[index], ask)
		if err == nil {
			c.preferred.Store(index)
			return v, nil
		}
		if ctx.Err() != nil || errors.Is(err, ErrHistoryCompacted) {
			break
		}
	}
	return Value{}, err
}

func (c *Client) ask(ctx context.Context, call string, timeout time.Duration, s Store, ask func(context.Context, Store) (Value, error)) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	v, err := ask(ctx, s)
	if err == nil && len(v.Data) > config.MaxValueBytes {
		err = result.Errorf(result.DocumentTooLarge, "value is over %d bytes", config.MaxValueBytes)
	}
	if errors.Is(err, ErrHistoryCompacted) {
		c.report(call, 0)
		return Value{}, err
	}
	failure := classify(err)
	if failure != nil {
		c.report(call, failure.Code)
		return Value{}, failure
	}
	c.report(call, 0)
	return v, nil
}

// classify gives a failure a code.
func classify(err error) *result.Error {
	if err == nil {
		return nil
	}
	var typed *result.Error
	if errors.As(err, &typed) {
		return typed
	}
	return result.Errorf(result.PlatformUnavailable, "%v", err)
}

func (c *Client) report(call string, code result.Code) {
	if c.options.OnCall != nil {
		c.options.OnCall(call, code)
	}
}

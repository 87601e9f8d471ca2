// Package configstore reads the product's own configuration from the store in
// which operators publish it: a manifest and its documents, as docs/PLATFORM.md
// describes. It never writes to the store.
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
	"github.com/gypsumlug/gypsumlug/internal/storepos"
)

// DefaultTimeout is the default of Options.Timeout.
const DefaultTimeout = 2 * time.Second

// The names of calls that are passed to Options.OnCall.
const (
	CallManifest = "manifest"
	CallWatch    = "watch"
	CallDocument = "document"
)

// The names of values in the store.
const (
	// ManifestName is the name of the current manifest.
	ManifestName = "manifest"
	// DocumentPrefix is followed by the SHA-256 of a document in hexadecimal.
	DocumentPrefix = "documents/"
)

// ErrHistoryCompacted is returned when the store no longer has the changes after a
// version.
var ErrHistoryCompacted = errors.New("store no longer has the changes after this version")

// Value is the value that a store holds under a name.
type Value struct {
	// Data is nil if there is no value or, from Await, no change.
	Data []byte
	// Epoch rises each time that the store is restored from an older copy; zero if it states
	// none.
	Epoch uint64
	// Version is the store's version in the epoch at the time of its answer. It can be
	// passed to Await.
	Version uint64
}

// position returns the store's position at the time of its answer.
func (v *Value) position() storepos.Position {
	return storepos.Position{Epoch: v.Epoch, Revision: v.Version}
}

// Store reads values by name. It is safe for concurrent use.
type Store interface {
	// Value returns the current value.
	Value(ctx context.Context, name string) (Value, error)
	// Await waits until a value changes after a version, at most for wait. It fails
	// with ErrHistoryCompacted if the store no longer has the changes after it.
	Await(ctx context.Context, name string, after uint64, wait time.Duration) (Value, error)
	// Close closes idle connections.
	Close()
}

// CallHook is called after each call with its name and its result code, which is
// zero for success.
type CallHook func(call string, code result.Code)

// Options configures a Client.
type Options struct {
	// Stores are clients of the same store at different addresses.
	Stores []Store
	// Timeout bounds one call, in addition to the wait of a watch. Zero means
	// DefaultTimeout.
	Timeout time.Duration
	// OnCall may be nil. It must be safe for concurrent use.
	OnCall CallHook
}

// Client reads the configuration. A call starts with the store that answered last,
// and tries each store at most once. Client is safe for concurrent use.
type Client struct {
	options Options
	// preferred is the index in Stores of the one that answered last.
	preferred atomic.Uint32

	mu   sync.Mutex
	last readPosition
}

// readPosition identifies the state of the manifest that was read last.
type readPosition struct {
	// store is the store's position, zero before the first read.
	store storepos.Position
	// revision is the revision of the manifest that was read last.
	revision config.Revision
}

// unparsedRevision stands for the revision of a manifest that could not be parsed.
// It is above every other, so that the manifest is read again.
const unparsedRevision = config.Revision(math.MaxUint64)

// New returns a client.
func New(opts Options) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	return &Client{options: opts}
}

// Close closes idle connections.
func (c *Client) Close() {
	for _, s := range c.options.Stores {
		s.Close()
	}
}

// Manifest returns the bytes of the current manifest.
func (c *Client) Manifest(ctx context.Context) ([]byte, error) {
	v, err := c.readValue(ctx, CallManifest, ManifestName)
	if err != nil {
		return nil, err
	}
	c.recordRead(v)
	return v.Data, nil
}

// Watch waits for a change of the manifest since the last read, at most for wait,
// and returns nil if there is none. If there was no read before, or if the revision
// that was read last is above after, it first reads the current manifest. It
// returns that one without waiting if its revision is above after, since the caller
// has then not accepted it.
func (c *Client) Watch(ctx context.Context, after config.Revision, wait time.Duration) ([]byte, error) {
	position := c.lastPosition()
	if position.store == (storepos.Position{}) || position.revision > after {
		v, err := c.readValue(ctx, CallWatch, ManifestName)
		if err != nil {
			return nil, err
		}
		if position = c.recordRead(v); position.revision > after {
			return v.Data, nil
		}
	}
	v, err := c.awaitManifest(ctx, position.store.Revision, wait)
	wentBack := err == nil && (v.Epoch != position.store.Epoch || v.position().Before(position.store))
	if wentBack || errors.Is(err, ErrHistoryCompacted) {
		return c.readAnew(ctx)
	}
	if err != nil {
		return nil, err
	}
	c.recordRead(v)
	return v.Data, nil
}

// readAnew reads the manifest of a store that no longer has the position of the last read,
// and continues at the position that it has now.
func (c *Client) readAnew(ctx context.Context) ([]byte, error) {
	v, err := c.readValue(ctx, CallWatch, ManifestName)
	if err != nil {
		return nil, err
	}
	c.forgetPosition()
	c.recordRead(v)
	return v.Data, nil
}

// Document returns the bytes of the document with the given hash.
func (c *Client) Document(ctx context.Context, hash string) ([]byte, error) {
	v, err := c.readValue(ctx, CallDocument, DocumentPrefix+hash)
	return v.Data, err
}

// lastPosition returns the position of the last read.
func (c *Client) lastPosition() readPosition {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last
}

// recordRead updates the position of the last read from the store's answer.
func (c *Client) recordRead(v Value) readPosition {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.store.Before(v.position()) {
		c.last.store = v.position()
	}
	if v.Data != nil {
		c.last.revision = manifestRevision(v.Data)
	}
	return c.last
}

// forgetPosition forgets the store's revision, but not its epoch.
func (c *Client) forgetPosition() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last.store.Revision = 0
}

// manifestRevision returns the revision of an encoded manifest.
func manifestRevision(manifest []byte) config.Revision {
	m, err := config.ParseManifest(manifest)
	if err != nil {
		return unparsedRevision
	}
	return m.Revision
}

// readValue reads a value and fails if there is none.
func (c *Client) readValue(ctx context.Context, call, name string) (Value, error) {
	return c.tryStores(ctx, call, c.options.Timeout, func(ctx context.Context, s Store) (Value, error) {
		v, err := s.Value(ctx, name)
		if err == nil && v.Data == nil {
			err = result.Errorf(result.PlatformUnavailable, "%s is not published", name)
		}
		return v, err
	})
}

// awaitManifest waits for a change of the manifest after a version of the store's epoch.
func (c *Client) awaitManifest(ctx context.Context, after uint64, wait time.Duration) (Value, error) {
	return c.tryStores(ctx, CallWatch, wait+c.options.Timeout, func(ctx context.Context, s Store) (Value, error) {
		return s.Await(ctx, ManifestName, after, wait)
	})
}

// tryStores calls the stores in turn until one succeeds.
func (c *Client) tryStores(ctx context.Context, call string, timeout time.Duration, request func(context.Context, Store) (Value, error)) (Value, error) {
	count := uint32(len(c.options.Stores))
	err := error(result.Errorf(result.PlatformUnavailable, "no store address is configured"))
	first := c.preferred.Load()
	for i := range count {
		index := (first + i) % count
		var v Value
		v, err = c.callStore(ctx, call, timeout, c.options.Stores[index], request)
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

// callStore calls one store, checks the size of the value and reports the result.
func (c *Client) callStore(ctx context.Context, call string, timeout time.Duration, s Store, request func(context.Context, Store) (Value, error)) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	v, err := request(ctx, s)
	if err == nil && v.Epoch < c.lastPosition().store.Epoch {
		err = result.Errorf(result.PlatformUnavailable, "store answers with epoch %d, an earlier one than before", v.Epoch)
	}
	if err == nil && len(v.Data) > config.MaxValueBytes {
		err = result.Errorf(result.DocumentTooLarge, "value is over %d bytes", config.MaxValueBytes)
	}
	if errors.Is(err, ErrHistoryCompacted) {
		c.reportCall(call, 0)
		return Value{}, err
	}
	failure := toResultError(err)
	if failure != nil {
		c.reportCall(call, failure.Code)
		return Value{}, failure
	}
	c.reportCall(call, 0)
	return v, nil
}

// toResultError returns err as a result error; errors without a code become
// PlatformUnavailable.
func toResultError(err error) *result.Error {
	if err == nil {
		return nil
	}
	var coded *result.Error
	if errors.As(err, &coded) {
		return coded
	}
	return result.Errorf(result.PlatformUnavailable, "%v", err)
}

// reportCall passes the result of a call to Options.OnCall.
func (c *Client) reportCall(call string, code result.Code) {
	if c.options.OnCall != nil {
		c.options.OnCall(call, code)
	}
}

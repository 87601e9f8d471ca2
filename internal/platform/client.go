// Package platform is the HTTP client of the platform's configuration service.
//
// Every call is a GET; nothing is written. Each call tries the known addresses
// in turn, beginning with the one that answered last, and each of them at most
// once. There are no other retries: the control machine decides when to call
// again, so that the rate of calls stays bounded. docs/PLATFORM.md describes
// the protocol.
package platform

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gypsumlug/gypsumlug/internal/config"
	"github.com/gypsumlug/gypsumlug/internal/dial"
	"github.com/gypsumlug/gypsumlug/internal/platformapi"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// DefaultTimeout bounds one HTTP call, without the wait of a watch.
const DefaultTimeout = 2 * time.Second

// maxIdleConnections bounds the idle connections kept to one address.
const maxIdleConnections = 4

// CallHook is told of each HTTP call after it ended. path is one of the paths of
// platformapi, PathDocument for every document. code is zero if the call
// succeeded.
type CallHook func(path string, code result.Code)

// Options configures a Client.
type Options struct {
	// Addresses are the service's addresses, host and port.
	Addresses []string
	// Timeout bounds one HTTP call, without the wait of a watch. Zero means
	// DefaultTimeout.
	Timeout time.Duration
	// OnCall counts calls; it may be nil. It must be safe for concurrent use.
	OnCall CallHook
	// Dial opens a connection to an address; nil means TCP.
	Dial dial.Func
}

// Client reads the platform's service. It is safe for concurrent use.
type Client struct {
	options   Options
	http      *http.Client
	preferred atomic.Uint32
}

// New returns a client.
func New(o Options) *Client {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	transport := &http.Transport{
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     time.Minute,
	}
	if o.Dial != nil {
		transport.DialContext = func(ctx context.Context, _, address string) (net.Conn, error) { return o.Dial(ctx, address) }
	}
	return &Client{options: o, http: &http.Client{Transport: transport}}
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Manifest returns the bytes of the current manifest.
// Errors are *result.Error with code 616 or 617.
func (c *Client) Manifest(ctx context.Context) ([]byte, error) {
	return c.get(ctx, platformapi.PathManifest, "", c.options.Timeout)
}

// Watch waits for at most wait until the revision is above after, and returns
// the manifest, or nil if none is newer. Errors are those of Manifest.
func (c *Client) Watch(ctx context.Context, after config.Revision, wait time.Duration) ([]byte, error) {
	query := url.Values{}
	query.Set("after", strconv.FormatUint(uint64(after), 10))
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return c.get(ctx, platformapi.PathWatch, query.Encode(), wait+c.options.Timeout)
}

// Document returns the bytes of the document with the given hash. The caller
// checks them against the hash. Errors are those of Manifest.
func (c *Client) Document(ctx context.Context, hash string) ([]byte, error) {
	return c.get(ctx, platformapi.PathDocument+url.PathEscape(hash), "", c.options.Timeout)
}

// Hosts returns the hosts that the platform lists. Errors are those of Manifest.
func (c *Client) Hosts(ctx context.Context) ([]platformapi.HostEntry, error) {
	data, err := c.get(ctx, platformapi.PathHosts, "", c.options.Timeout)
	if err != nil {
		return nil, err
	}
	list := platformapi.HostList{}
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, result.Errorf(result.PlatformUnavailable, "host list: %v", err)
	}
	return list.Hosts, nil
}

func (c *Client) get(ctx context.Context, path, query string, timeout time.Duration) ([]byte, error) {
	count := uint32(len(c.options.Addresses))
	err := error(result.Errorf(result.PlatformUnavailable, "no address is set"))
	first := c.preferred.Load()
	for i := range count {
		index := (first + i) % count
		var data []byte
		data, err = c.getFrom(ctx, c.options.Addresses[index], path, query, timeout)
		if err == nil {
			c.preferred.Store(index)
			return data, nil
		}
		if ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

func (c *Client) getFrom(ctx context.Context, address, path, query string, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	target := url.URL{Scheme: "http", Host: address, Path: path, RawQuery: query}
	data, err := c.read(ctx, target.String())
	failure := classify(err)
	c.report(path, failure)
	if failure != nil {
		return nil, failure
	}
	return data, nil
}

func (c *Client) read(ctx context.Context, target string) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, http.NoBody)
	if err != nil {
		return nil, eris.Wrap(err, "build request")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrap(err, "call platform")
	}
	defer func() { _ = response.Body.Close() }()
	switch response.StatusCode {
	case http.StatusOK:
		return readBody(response.Body)
	case http.StatusNoContent:
		return nil, nil
	default:
		return nil, eris.Errorf("platform answered with status %d", response.StatusCode)
	}
}

// readBody reads at most the value limit. A body that ends before its announced
// length is an error of the HTTP library, so that a torn value is not taken.
func readBody(body io.Reader) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, config.MaxValueBytes+1))
	if err != nil {
		return nil, eris.Wrap(err, "read reply")
	}
	if len(data) > config.MaxValueBytes {
		return nil, result.Errorf(result.DocumentTooLarge, "value is over %d bytes", config.MaxValueBytes)
	}
	return data, nil
}

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

func (c *Client) report(path string, failure *result.Error) {
	if c.options.OnCall == nil {
		return
	}
	if strings.HasPrefix(path, platformapi.PathDocument) {
		path = platformapi.PathDocument
	}
	if failure == nil {
		c.options.OnCall(path, 0)
		return
	}
	c.options.OnCall(path, failure.Code)
}

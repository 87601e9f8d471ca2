package callerconn

import (
	"errors"
	"io"
	"time"

	"github.com/gypsumlug/gypsumlug/internal/callerbudget"
)

const (
	// pieceBytes is the size of the pieces that a long body arrives in.
	pieceBytes = 16 << 10
	// maxSparePieces bounds the pieces that are kept for reuse.
	maxSparePieces = 64
)

// sparePieces holds pieces for reuse. Unlike a sync.Pool it is bounded: what it holds is not
// charged to anyone.
var sparePieces = make(chan []byte, maxSparePieces)

func newPiece() []byte {
	select {
	case p := <-sparePieces:
		return p
	default:
		return make([]byte, pieceBytes)
	}
}

func freePiece(p []byte) {
	select {
	case sparePieces <- p[:pieceBytes]:
	default:
	}
}

// ReadBody reads the body of a request to its end. length is the announced one, -1 if there is
// none. The memory is charged as the body grows. The error is ErrGivenUp if the request was
// given up.
func (c *Conn) ReadBody(r io.Reader, length int64) ([]byte, error) {
	if c.bounded() && !c.guard.enter(c, callerbudget.Body) {
		return nil, c.refuseBody()
	}
	body, err := c.readBody(r, length)
	if err == nil && !c.MayStart() {
		return nil, c.refuseBody()
	}
	switch {
	case c.bounded() && err == nil && !c.guard.enter(c, callerbudget.Running), err != nil && c.isGivenUp():
		return nil, c.refuseBody()
	case err != nil && c.bounded():
		c.guard.release(c)
	}
	return body, err
}

// MayStart reports whether a request without a body may begin to run. It is to be refused
// otherwise, as for ErrGivenUp.
func (c *Conn) MayStart() bool { return !c.bounded() || c.guard.mayStart() }

func (c *Conn) isGivenUp() bool { return c != nil && c.givenUp.Load() }

// refuseBody releases what the body was charged, and lets the refusal be written.
func (c *Conn) refuseBody() error {
	c.guard.release(c)
	_ = c.SetWriteDeadline(time.Now().Add(refusalTimeout))
	return ErrGivenUp
}

func (c *Conn) readBody(r io.Reader, length int64) ([]byte, error) {
	first := make([]byte, callerbudget.FreeBodyBytes)
	if length >= 0 && length < int64(len(first)) {
		first = first[:length]
	}
	n, err := c.fill(r, first)
	if errors.Is(err, io.EOF) || err == nil && int64(n) == length {
		return first[:n], nil
	}
	if err != nil {
		return nil, err
	}
	return c.readLongBody(r, first, length)
}

// fill reads until buf is full. The error is io.EOF if the body ends before that.
func (c *Conn) fill(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var k int
		k, err = r.Read(buf[n:])
		n += k
		c.progress(k)
	}
	if n == len(buf) {
		return n, nil
	}
	return n, err
}

// readLongBody reads the rest of a body that begins with first.
func (c *Conn) readLongBody(r io.Reader, first []byte, length int64) ([]byte, error) {
	var pieces [][]byte
	defer func() {
		for _, p := range pieces {
			freePiece(p)
		}
	}()
	size := len(first)
	for {
		if c.bounded() && !c.guard.grow(c, pieceBytes) {
			return nil, ErrGivenUp
		}
		piece := newPiece()
		if len(pieces) == 0 {
			piece = piece[:pieceBytes-len(first)] // The others then end at multiples of pieceBytes.
		}
		pieces = append(pieces, piece)
		n, err := c.fill(r, piece)
		size += n
		if errors.Is(err, io.EOF) || err == nil && int64(size) == length {
			return join(first, pieces, size), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// join returns the size bytes of first and of the pieces.
func join(first []byte, pieces [][]byte, size int) []byte {
	body := append(make([]byte, 0, size), first...)
	for _, p := range pieces {
		body = append(body, p[:min(len(p), size-len(body))]...)
	}
	return body
}

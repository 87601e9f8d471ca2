package bodymemory

import (
	"errors"
	"io"
	"sync"
)

// ErrTooLarge is returned for a body over its limit.
var ErrTooLarge = errors.New("response over the size limit")

// chunkBytes is the size of the pieces in which a long body is read.
const chunkBytes = 16 << 10

type chunk [chunkBytes]byte

// chunkPool holds chunks for reuse, so that bodies that are given up leave no garbage: a host
// that is short of processor time would collect it too late.
var chunkPool = sync.Pool{New: func() any { return new(chunk) }}

// ReadLongBody reads a body of up to limit bytes. It takes memory as the body arrives,
// whatever its length is said to be.
func ReadLongBody(r io.Reader, limit int) ([]byte, error) {
	var chunks []*chunk
	defer func() {
		for _, c := range chunks {
			chunkPool.Put(c)
		}
	}()
	for size := 0; ; {
		if size == len(chunks)*chunkBytes {
			chunks = append(chunks, chunkPool.Get().(*chunk))
		}
		n, err := r.Read(chunks[len(chunks)-1][size%chunkBytes:])
		size += n
		switch {
		case size > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return joinChunks(chunks, size), nil
		case err != nil:
			return nil, err
		}
	}
}

// joinChunks returns a copy of the first size bytes of the chunks.
func joinChunks(chunks []*chunk, size int) []byte {
	body := make([]byte, 0, size)
	for _, c := range chunks {
		body = append(body, c[:min(chunkBytes, size-len(body))]...)
	}
	return body
}

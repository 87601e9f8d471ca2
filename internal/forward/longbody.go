package forward

import (
	"errors"
	"io"
	"sync"
)

// chunkBytes is the size of the pieces in which a long body is read.
const chunkBytes = 16 << 10

type chunk [chunkBytes]byte

// chunkPool holds chunks for reuse, so that bodies that are given up leave no garbage: a host
// that is short of processor time would collect it too late.
var chunkPool = sync.Pool{New: func() any { return new(chunk) }}

// readLongBody reads a body of up to maxResponseBytes. It takes memory as the body arrives,
// whatever its length is said to be.
func readLongBody(r io.Reader) ([]byte, error) {
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
		case size > maxResponseBytes:
			return nil, errResponseTooLarge
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

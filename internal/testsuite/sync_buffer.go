package testsuite

import (
	"bytes"
	"sync"
)

// SyncBuffer is a buffer that is safe for concurrent use, for example to collect
// log output. The zero value is an empty buffer.
type SyncBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

// Write appends p to the buffer. It implements io.Writer.
func (b *SyncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

// Bytes returns a copy of the contents of the buffer.
func (b *SyncBuffer) Bytes() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	return bytes.Clone(b.out.Bytes())
}

// String returns the contents of the buffer.
func (b *SyncBuffer) String() string { return string(b.Bytes()) }

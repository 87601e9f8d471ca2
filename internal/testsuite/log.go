package testsuite

import (
	"bytes"
	"sync"
)

// SyncBuffer collects what goroutines write. The zero value is ready.
type SyncBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

// Write implements io.Writer.
func (l *SyncBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(p)
}

// Bytes returns a copy of what was written.
func (l *SyncBuffer) Bytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.out.Bytes())
}

// String returns what was written.
func (l *SyncBuffer) String() string { return string(l.Bytes()) }

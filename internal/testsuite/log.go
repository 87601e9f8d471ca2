package testsuite

import (
	"bytes"
	"sync"
)

// Log collects what goroutines write. The zero value is ready.
type Log struct {
	mu  sync.Mutex
	out bytes.Buffer
}

// Write implements io.Writer.
func (l *Log) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out.Write(p)
}

// Bytes returns a copy of what was written.
func (l *Log) Bytes() []byte {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Clone(l.out.Bytes())
}

// String returns what was written.
func (l *Log) String() string { return string(l.Bytes()) }

package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// LinesDropped counts the log lines that were not written because the reader of
// the log did not keep up.
const LinesDropped = "gypsumlug_log_lines_dropped_total"

// lineQueue is the number of lines that may wait to be written.
const lineQueue = 512

// Writer writes log lines to another writer without ever blocking: lines that
// find its queue full are dropped and counted, and the next line that is written
// after them says how many there were. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	counter *metrics.Counter
}

// NewWriter returns a writer to w that counts what it drops. Close ends it.
func NewWriter(w io.Writer, dropped *metrics.Counter) *Writer {
	b := &Writer{lines: make(chan []byte, lineQueue), done: make(chan struct{}), counter: dropped}
	go b.run(w)
	return b
}

// Write implements io.Writer. It takes one line and always succeeds.
func (b *Writer) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
		b.counter.Inc()
	}
	return len(line), nil
}

// Close writes what waits, for at most the given time.
func (b *Writer) Close(limit time.Duration) {
	close(b.lines)
	select {
	case <-b.done:
	case <-time.After(limit):
	}
}

func (b *Writer) run(w io.Writer) {
	defer close(b.done)
	for line := range b.lines {
		if n := b.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w, "time=%s level=warn message=\"log lines dropped\" lines=%d\n", time.Now().Format(timeFormat), n)
		}
		// A log that cannot be written has nowhere to be reported.
		_, _ = w.Write(line)
	}
}

package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// LinesDropped is the counter of log lines that were dropped because the reader of
// the log was too slow.
const LinesDropped = "gypsumlug_log_lines_dropped_total"

// lineQueueSize is the maximum number of lines that wait to be written.
const lineQueueSize = 512

// Writer passes log lines to another writer through a queue, so that Write never
// blocks. Lines that find the queue full are dropped and counted. Their number is
// logged before the next line that is written. Writer is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
	counter *metrics.Counter
}

// NewWriter returns a Writer to w that counts the lines that it drops in dropped.
// The caller must call Close to end its goroutine.
func NewWriter(w io.Writer, dropped *metrics.Counter) *Writer {
	b := &Writer{lines: make(chan []byte, lineQueueSize), done: make(chan struct{}), counter: dropped}
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

// Close waits until the queued lines are written, for at most limit. Write must not
// be called afterwards.
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
		// Errors are ignored, since there is no other place to report them.
		_, _ = w.Write(line)
	}
}

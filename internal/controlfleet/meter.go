package controlfleet

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
)

// Meter accumulates the cost of the control plane. All methods may be called on a nil
// Meter, and then measure nothing.
type Meter struct {
	// CPUTime is the time spent in state machines and in encoding and decoding
	// heartbeats, measured as elapsed real time.
	CPUTime time.Duration
	// Heartbeats and HeartbeatBytes count the heartbeats sent. FetchBytes counts the
	// bytes of values fetched from peers and the platform.
	Heartbeats     int
	HeartbeatBytes int
	FetchBytes     int
}

func (m *Meter) startClock() func() {
	if m == nil {
		return func() {}
	}
	begin := time.Now()
	return func() { m.CPUTime += time.Since(begin) }
}

func (m *Meter) encode(h *peerwire.Heartbeat) []byte {
	if m == nil {
		return nil
	}
	defer m.startClock()()
	frame, err := msgpack.Marshal(h)
	if err != nil {
		panic(err)
	}
	m.Heartbeats++
	m.HeartbeatBytes += len(frame)
	return frame
}

// decode decodes a heartbeat from frame. Without a Meter, or if there was none when the
// heartbeat was sent and frame is therefore empty, it returns a copy of h.
func (m *Meter) decode(frame []byte, h *peerwire.Heartbeat) peerwire.Heartbeat {
	if m == nil || len(frame) == 0 {
		return *h
	}
	var out peerwire.Heartbeat
	if err := msgpack.Unmarshal(frame, &out); err != nil {
		panic(err)
	}
	return out
}

// countFetched adds the size of data to FetchBytes and returns a copy of data. Without a
// Meter it returns data itself.
func (m *Meter) countFetched(data []byte) []byte {
	if m == nil {
		return data
	}
	m.FetchBytes += len(data)
	return clone(data)
}

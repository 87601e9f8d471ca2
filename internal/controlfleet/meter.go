package controlfleet

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
)

// Meter accumulates the cost of the control plane. All methods may be called on a nil
// Meter, and then measure nothing.
type Meter struct {
	// CPUTime is the time spent in state machines and in encoding heartbeats, measured
	// as elapsed real time.
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

// decode decodes an encoded heartbeat. It returns h if the heartbeat was sent or is
// received without a Meter.
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

func (m *Meter) countFetched(data []byte) []byte {
	if m == nil {
		return data
	}
	m.FetchBytes += len(data)
	return clone(data)
}

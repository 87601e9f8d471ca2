package controlfleet

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/gypsumlug/gypsumlug/internal/peerwire"
)

// Meter adds up what control costs. All methods work on nil, and then measure
// nothing.
type Meter struct {
	// Busy is the processor time spent in machines and in the codec.
	Busy time.Duration
	// Heartbeats and HeartbeatBytes count frames sent; FetchBytes counts values
	// fetched from peers and the platform.
	Heartbeats     int
	HeartbeatBytes int
	FetchBytes     int
}

func (m *Meter) clock() func() {
	if m == nil {
		return func() {}
	}
	begin := time.Now()
	return func() { m.Busy += time.Since(begin) }
}

func (m *Meter) encode(h *peerwire.Heartbeat) []byte {
	if m == nil {
		return nil
	}
	defer m.clock()()
	frame, err := msgpack.Marshal(h)
	if err != nil {
		panic(err)
	}
	m.Heartbeats++
	m.HeartbeatBytes += len(frame)
	return frame
}

// decode returns the message of a frame, or h if it was sent unmetered.
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

func (m *Meter) fetched(data []byte) []byte {
	if m == nil {
		return data
	}
	m.FetchBytes += len(data)
	return clone(data)
}

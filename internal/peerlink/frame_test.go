package peerlink_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"runtime"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/peerlink"
)

// Guards against memory that is reserved for a message by the size in its frame, of which
// nothing has come: anybody can connect to the port.
func TestFrameTakesMemoryAsItArrives(t *testing.T) {
	const connections, maxAllocated = 100, 4 << 20
	g := NewWithT(t)
	frame := append(binary.BigEndian.AppendUint32(nil, 8<<20), make([]byte, 1000)...)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range connections {
		var request peerlink.Request
		g.Expect(peerlink.ReadFrame(bytes.NewReader(frame), &request)).To(MatchError(io.ErrUnexpectedEOF))
	}
	runtime.ReadMemStats(&after)
	g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", maxAllocated))
}

package peer

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/gypsumlug/gypsumlug/internal/dispatch"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// FuzzFrame checks that any input is either refused with a frame result code or read
// as a frame that encodes to the same bytes.
func FuzzFrame(f *testing.F) {
	f.Add(hello)
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := ReadFrame(bufio.NewReader(bytes.NewReader(data)))
		var refused *result.Error
		switch {
		case errors.Is(err, io.EOF) && len(data) == 0:
			return
		case errors.As(err, &refused):
			if refused.Code < result.FrameInvalid || refused.Code > result.FrameVersion {
				t.Fatalf("refused with %v", refused)
			}
			return
		case err != nil:
			t.Fatalf("refused without a code: %v", err)
		}
		reencoded := mustFrame(frame.Version, frame.Kind, frame.ID, nil)
		reencoded = withLength(append(reencoded, frame.Payload...), uint32(minFrameBytes+len(frame.Payload)))
		if !bytes.HasPrefix(data, reencoded) {
			t.Fatalf("read %x, encoded %x", data, reencoded)
		}
		decodeAllMessages(frame)
	})
}

// decodeAllMessages decodes a payload as each type of message. A failure must be
// returned as an error and not cause a panic.
func decodeAllMessages(frame Frame) {
	for _, message := range []any{
		&peerwire.Hello{}, &peerwire.Heartbeat{}, &peerwire.Dispatch{}, &peerwire.Replies{},
		&peerwire.Submit{}, &peerwire.Handover{}, &peerwire.Document{},
	} {
		_ = frame.Decode(message)
	}
}

func TestFrameSizeLimit(t *testing.T) {
	g := NewWithT(t)
	const overhead = minFrameBytes + 5 // The msgpack header of a long string.
	largest := strings.Repeat("x", MaxFrameBytes-overhead)
	data, err := AppendFrame(nil, 1, peerwire.KindDocument, 1, largest)
	g.Expect(err).NotTo(HaveOccurred())
	frame, err := ReadFrame(bufio.NewReader(bytes.NewReader(data)))
	g.Expect(err).NotTo(HaveOccurred())
	var got string
	g.Expect(frame.Decode(&got)).To(Succeed())
	g.Expect(got == largest).To(BeTrue())
	_, err = AppendFrame(nil, 1, peerwire.KindDocument, 1, largest+"x")
	g.Expect(err).To(MatchError(ContainSubstring("frame-too-large")))
	g.Expect(Undelivered(err)).To(BeTrue())
}

func BenchmarkFrameWrite(b *testing.B) {
	message := benchmarkDispatch()
	b.ReportAllocs()
	for b.Loop() {
		if _, err := AppendFrame(nil, 1, peerwire.KindDispatch, 0, message); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkFrameRead(b *testing.B) {
	data := mustFrame(1, peerwire.KindDispatch, 0, benchmarkDispatch())
	b.ReportAllocs()
	b.SetBytes(int64(len(data)))
	for b.Loop() {
		frame, err := ReadFrame(bufio.NewReader(bytes.NewReader(data)))
		if err != nil {
			b.Fatal(err)
		}
		var message peerwire.Dispatch
		if err := frame.Decode(&message); err != nil {
			b.Fatal(err)
		}
	}
}

// benchmarkDispatch returns a dispatch of six attempts, the number that one relay
// receives for a query.
func benchmarkDispatch() peerwire.Dispatch {
	request := dispatch.Request{
		Key: dispatch.Key{Request: "10.0.0.1:7000/5577006791947779410/1", Attempt: 1}, Service: "desk-01",
		Endpoint: "desk-01-a", Snapshot: 17, Body: "gel pack 40 g", Limit: 20, Budget: 1e8,
	}
	return peerwire.Dispatch{Requests: []dispatch.Request{request, request, request, request, request, request}}
}

package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/gypsumlug/gypsumlug/internal/callerconn"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	// MaxFrameBytes limits the size of a frame, not counting its length prefix.
	MaxFrameBytes = 4 << 20

	lengthBytes       = 4
	versionOffset     = lengthBytes
	kindOffset        = versionOffset + 1
	correlationOffset = kindOffset + 1
	headerBytes       = correlationOffset + 8
	minFrameBytes     = headerBytes - lengthBytes
)

// Frame is one message on the wire: a 4-byte big-endian length of what follows, a
// version byte, a kind byte, an 8-byte big-endian correlation ID and a msgpack
// payload.
type Frame struct {
	Version uint8
	Kind    peerwire.Kind
	// ID matches an answer to its request; it is zero for one-way messages.
	ID      uint64
	Payload []byte
}

// AppendFrame encodes a message as a frame and appends it to dst. If that is not
// possible, it returns the original dst and a *result.Error with code FrameTooLarge
// or FrameInvalid.
func AppendFrame(dst []byte, version uint8, kind peerwire.Kind, id uint64, message any) ([]byte, error) {
	buffer := bytes.NewBuffer(dst)
	var header [headerBytes]byte
	header[versionOffset] = version
	header[kindOffset] = byte(kind)
	binary.BigEndian.PutUint64(header[correlationOffset:], id)
	buffer.Write(header[:])
	if message != nil {
		if err := encode(buffer, message); err != nil {
			return dst, result.Errorf(result.FrameInvalid, "encoding %s: %v", kind, err)
		}
	}
	out := buffer.Bytes()
	length := len(out) - len(dst) - lengthBytes
	if length > MaxFrameBytes {
		return dst, result.Errorf(result.FrameTooLarge, "%s has %d bytes, at most %d are allowed", kind, length, MaxFrameBytes)
	}
	binary.BigEndian.PutUint32(out[len(dst):], uint32(length))
	return out, nil
}

func encode(w io.Writer, message any) error {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(w)
	encoder.UseCompactInts(true)
	return encoder.Encode(message)
}

// ReadFrame reads one frame. Its error is io.EOF if the stream ends between two
// frames, and otherwise a *result.Error with code FrameInvalid, FrameTooLarge or
// FrameVersion; no further frame can be read then. Unknown kinds are accepted, so
// that the caller can refuse only this frame.
func ReadFrame(r *bufio.Reader) (Frame, error) { return readGuardedFrame(r, nil) }

// readGuardedFrame is ReadFrame for a connection that is charged for the memory of the frame;
// it may be nil.
func readGuardedFrame(r *bufio.Reader, conn *callerconn.Conn) (Frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:lengthBytes]); err != nil {
		if errors.Is(err, io.EOF) {
			return Frame{}, io.EOF
		}
		return Frame{}, truncatedFrame(err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length > MaxFrameBytes {
		return Frame{}, result.Errorf(result.FrameTooLarge, "the frame has %d bytes, at most %d are allowed", length, MaxFrameBytes)
	}
	if length < minFrameBytes {
		return Frame{}, result.Errorf(result.FrameInvalid, "the frame has %d bytes, at least %d are needed", length, minFrameBytes)
	}
	if _, err := io.ReadFull(r, header[lengthBytes:]); err != nil {
		return Frame{}, truncatedFrame(err)
	}
	frame := Frame{
		Version: header[versionOffset],
		Kind:    peerwire.Kind(header[kindOffset]),
		ID:      binary.BigEndian.Uint64(header[correlationOffset:]),
	}
	if !supportedVersion(frame.Version) {
		return frame, result.Errorf(result.FrameVersion, "frame version %d is not supported; this host has version %d", frame.Version, peerwire.Version)
	}
	payload, err := readPayload(r, int(length)-minFrameBytes, conn)
	if err != nil {
		return frame, truncatedFrame(err)
	}
	frame.Payload = payload
	return frame, nil
}

// readPayload reads a payload, which takes memory as it arrives, so that a false length does
// not cost memory.
func readPayload(r io.Reader, size int, conn *callerconn.Conn) ([]byte, error) {
	payload, err := conn.ReadBody(io.LimitReader(r, int64(size)), int64(size))
	if err == nil && len(payload) < size {
		err = io.ErrUnexpectedEOF
	}
	return payload, err
}

// supportedVersion reports whether v is the version of this build or the previous one.
func supportedVersion(v uint8) bool {
	return v == peerwire.Version || v+1 == peerwire.Version
}

// Decode decodes the payload into message, which must be of the type that the frame's
// kind requires. Bytes after the message are an error.
func (f Frame) Decode(message any) error {
	if err := checkBounds(f.Payload); err != nil {
		return err
	}
	reader := bytes.NewReader(f.Payload)
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(reader)
	if err := decoder.Decode(message); err != nil {
		return result.Errorf(result.FrameInvalid, "decoding %s: %v", f.Kind, err)
	}
	if reader.Len() > 0 {
		return result.Errorf(result.FrameInvalid, "%s has %d bytes after the message", f.Kind, reader.Len())
	}
	return nil
}

func truncatedFrame(err error) error {
	return result.Errorf(result.FrameInvalid, "the frame is truncated: %v", err)
}

package peer

import (
	"bufio"
	"net"

	"github.com/gypsumlug/gypsumlug/internal/callerconn"
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// helloVersion is the frame version of hellos. It is one below the current version,
// since the other side may be one version older.
const helloVersion = peerwire.Version - 1

func sendHello(conn net.Conn, self string) error {
	hello := peerwire.Hello{From: self, Version: peerwire.Version}
	data, err := AppendFrame(nil, helloVersion, peerwire.KindHello, 0, hello)
	if err != nil {
		return err
	}
	_, err = conn.Write(data)
	return err
}

// readHello reads the first frame of a connection. The version of the other side must
// be that of this build, the previous or the next one.
func readHello(reader *bufio.Reader) (peerwire.Hello, error) { return readGuardedHello(reader, nil) }

// readGuardedHello is readHello for a connection that is charged for the memory of the frame;
// it may be nil.
func readGuardedHello(reader *bufio.Reader, conn *callerconn.Conn) (peerwire.Hello, error) {
	var hello peerwire.Hello
	frame, err := readGuardedFrame(reader, conn)
	if err != nil {
		return hello, err
	}
	if frame.Kind != peerwire.KindHello {
		return hello, result.Errorf(result.FrameInvalid, "the first frame is %s, want hello", frame.Kind)
	}
	if err := frame.Decode(&hello); err != nil {
		return hello, err
	}
	if hello.Version+1 < peerwire.Version || hello.Version > peerwire.Version+1 {
		return hello, result.Errorf(result.FrameVersion, "the peer has version %d, which this host with version %d does not support", hello.Version, peerwire.Version)
	}
	if hello.From == "" {
		return hello, result.Errorf(result.FrameInvalid, "the hello has no sender address")
	}
	return hello, nil
}

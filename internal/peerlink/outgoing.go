package peerlink

import "sync/atomic"

const (
	// maxOutgoingBytes bounds the bodies of the requests that are being written: each is a copy
	// of its own, and a host that reads slowly holds it up until its deadline.
	maxOutgoingBytes = 4 << 20
	// freeOutgoingBytes is the size up to which a body does not count.
	freeOutgoingBytes = 16 << 10
)

// outgoing counts the bytes of large requests that are being written.
type outgoing struct{ bytes atomic.Int64 }

// acquire reports whether a request may be written. One may always, whatever its size.
func (o *outgoing) acquire(r *Request) bool {
	size := int64(r.bodyBytes())
	if size <= freeOutgoingBytes {
		return true
	}
	if total := o.bytes.Add(size); total <= maxOutgoingBytes || total == size {
		return true
	}
	o.bytes.Add(-size)
	return false
}

// release is called when a request has been written, or could not be.
func (o *outgoing) release(r *Request) {
	if size := int64(r.bodyBytes()); size > freeOutgoingBytes {
		o.bytes.Add(-size)
	}
}

// bodyBytes returns the size of the body of a caller's request that a part carries.
func (r *Request) bodyBytes() int {
	if r.Part == nil {
		return 0
	}
	return len(r.Part.Message.Body)
}

package quarantine

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumlug/gypsumlug/internal/view"
)

// Fingerprint identifies a request by service and normalized content: letters
// are folded to lower case, each run of white space counts as one space, and
// leading and trailing white space is dropped. A caller that repeats a request
// with different spacing or capitalization sends the same request.
//
// The hash is not cryptographic. A request crafted to collide with another one
// can make that one a suspect only after the crafted request itself has crashed
// an endpoint.
func Fingerprint(service, body string) view.Fingerprint {
	h := xxhash.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(service)))
	_, _ = h.Write(length[:])
	_, _ = h.WriteString(service)
	for word := range strings.FieldsSeq(strings.ToLower(body)) {
		_, _ = h.WriteString(" ")
		_, _ = h.WriteString(word)
	}
	return view.Fingerprint(h.Sum64())
}

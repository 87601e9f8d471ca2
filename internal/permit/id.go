package permit

import (
	"encoding/binary"
	"net/netip"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/gypsumlug/gypsumlug/internal/keyrange"
	"github.com/gypsumlug/gypsumlug/internal/result"
	"github.com/gypsumlug/gypsumlug/internal/view"
)

// MaxIDBytes limits the length of the string form of a permit.
const MaxIDBytes = 512

// MaxServiceBytes limits the length of the name of a service with permits.
const MaxServiceBytes = 256

const (
	idFormat    = "1"
	idSeparator = "~"
	idFields    = 6
	hexBase     = 16
	decimalBase = 10
	idBits      = 64
)

// ID identifies a permit, which is the right to run one request of Service at most
// once.
type ID struct {
	// Issuer is the only incarnation that may dispatch the request.
	Issuer view.Incarnation
	// Sequence is the number of the permit, counted from 1 for each issuer.
	Sequence uint64
	// Nonce is a random number drawn at issue, which makes permits hard to guess.
	Nonce   uint64
	Service string
}

// String returns the form that callers store and send: the format version, the
// issuer's address and start number, the sequence, the nonce and the service,
// separated by tildes. The start number and the nonce are hexadecimal.
func (id ID) String() string {
	return strings.Join([]string{
		idFormat,
		id.Issuer.Address,
		strconv.FormatUint(id.Issuer.Start, hexBase),
		strconv.FormatUint(id.Sequence, decimalBase),
		strconv.FormatUint(id.Nonce, hexBase),
		id.Service,
	}, idSeparator)
}

// Parse parses the string form of a permit. It accepts only strings that String
// returns. The error is a *result.Error with code PermitMalformed.
func Parse(s string) (ID, error) {
	if len(s) > MaxIDBytes {
		return ID{}, result.FieldErrorf(result.PermitMalformed, "permit", "has %d bytes, at most %d are allowed", len(s), MaxIDBytes)
	}
	parts := strings.SplitN(s, idSeparator, idFields)
	if len(parts) != idFields || parts[0] != idFormat {
		return ID{}, result.FieldErrorf(result.PermitMalformed, "permit", "is not a permit of format %s", idFormat)
	}
	address, addressErr := netip.ParseAddrPort(parts[1])
	start, startErr := strconv.ParseUint(parts[2], hexBase, idBits)
	sequence, sequenceErr := strconv.ParseUint(parts[3], decimalBase, idBits)
	nonce, nonceErr := strconv.ParseUint(parts[4], hexBase, idBits)
	id := ID{
		Issuer:   view.Incarnation{Address: parts[1], Start: start},
		Sequence: sequence,
		Nonce:    nonce,
		Service:  parts[5],
	}
	valid := addressErr == nil && startErr == nil && sequenceErr == nil && nonceErr == nil
	if !valid || !address.IsValid() || id.String() != s {
		return ID{}, result.FieldErrorf(result.PermitMalformed, "permit", "has an invalid address, start number, sequence or nonce")
	}
	return id, nil
}

// HashRequest returns the hash that distinguishes a repeated submit from a submit
// of a different request with the same permit. The caller's length is hashed
// before its name, so that the boundaries of the fields are unambiguous.
func HashRequest(caller string, key keyrange.Key, body string) uint64 {
	h := xxhash.New()
	var buffer [8]byte
	binary.BigEndian.PutUint64(buffer[:], uint64(len(caller)))
	_, _ = h.Write(buffer[:])
	_, _ = h.WriteString(caller)
	binary.BigEndian.PutUint64(buffer[:], uint64(key))
	_, _ = h.Write(buffer[:])
	_, _ = h.WriteString(body)
	return h.Sum64()
}

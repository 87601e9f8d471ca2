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

// MaxIDBytes bounds the printable form of a permit.
const MaxIDBytes = 512

// MaxServiceBytes bounds the name of a service that issues permits.
const MaxServiceBytes = 256

const (
	idFormat    = "1"
	idSeparator = "~"
	idFields    = 6
	hexBase     = 16
	decimalBase = 10
	idBits      = 64
)

// ID is a permit: the right to run one request of Service at most once.
type ID struct {
	// Issuer is the one incarnation that may dispatch the request.
	Issuer view.Incarnation
	// Sequence numbers the permits of the issuer from 1.
	Sequence uint64
	// Nonce keeps a permit from being guessed. It is drawn when the permit is
	// issued.
	Nonce   uint64
	Service string
}

// String returns the printable form, which callers store. It is the format
// version, the issuer's address, its start, the sequence, the nonce and the
// service, separated by tildes.
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

// Parse returns the permit of a printable form. The error is a *result.Error
// with code PermitMalformed.
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
		return ID{}, result.FieldErrorf(result.PermitMalformed, "permit", "a part is not valid")
	}
	return id, nil
}

// HashRequest returns the hash by which a repeated submit is told from a
// different request under the same permit.
func HashRequest(caller string, key keyrange.Key, body string) uint64 {
	h := xxhash.New()
	var number [8]byte
	binary.BigEndian.PutUint64(number[:], uint64(len(caller)))
	_, _ = h.Write(number[:])
	_, _ = h.WriteString(caller)
	binary.BigEndian.PutUint64(number[:], uint64(key))
	_, _ = h.Write(number[:])
	_, _ = h.WriteString(body)
	return h.Sum64()
}

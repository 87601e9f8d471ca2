package peer

import (
	"encoding/binary"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	// maxElements bounds the array elements of a payload over all its arrays.
	maxElements = 1 << 18
	// maxDepth bounds the nesting of arrays and maps.
	maxDepth = 16
)

// checkBounds walks a msgpack payload before it is decoded. The decoder
// allocates an array by its declared length and recurses into nested values, so
// that a few false bytes could otherwise take all memory.
func checkBounds(payload []byte) *result.Error {
	var left [maxDepth + 1]uint64 // Values still to come at each depth.
	left[0] = 1
	depth, elements := 0, uint64(0)
	for {
		for left[depth] == 0 {
			if depth == 0 {
				return nil
			}
			depth--
		}
		left[depth]--
		v, ok := readValue(payload)
		if !ok || v.size > uint64(len(payload)) {
			return result.Errorf(result.FrameInvalid, "the payload ends inside a value")
		}
		payload = payload[v.size:]
		if v.children == 0 {
			continue
		}
		elements += v.elements
		if v.children > uint64(len(payload)) || elements > maxElements {
			return result.Errorf(result.FrameInvalid, "the payload declares %d elements", v.children)
		}
		depth++
		if depth > maxDepth {
			return result.Errorf(result.FrameInvalid, "the payload is nested deeper than %d", maxDepth)
		}
		left[depth] = v.children
	}
}

// value is the head of a msgpack value.
type value struct {
	// size is the number of bytes without the children.
	size uint64
	// children are the values inside an array or map, elements those inside an
	// array.
	children, elements uint64
}

// The first codes of the groups of msgpack formats that differ in the width of
// their length or number.
const (
	codeFixMap   = 0x80
	codeFixArray = 0x90
	codeFixStr   = 0xa0
	codeNil      = 0xc0
	codeBin8     = 0xc4
	codeExt8     = 0xc7
	codeFloat32  = 0xca
	codeUint8    = 0xcc
	codeInt8     = 0xd0
	codeFixExt1  = 0xd4
	codeStr8     = 0xd9
	codeArray16  = 0xdc
	codeMap16    = 0xde
	codeNegFix   = 0xe0
)

func readValue(b []byte) (value, bool) {
	if len(b) == 0 {
		return value{}, false
	}
	code := b[0]
	switch {
	case code < codeFixMap || code >= codeNegFix:
		return value{size: 1}, true
	case code < codeFixArray:
		return mapOf(1, uint64(code-codeFixMap)), true
	case code < codeFixStr:
		return arrayOf(1, uint64(code-codeFixArray)), true
	case code < codeNil:
		return value{size: 1 + uint64(code-codeFixStr)}, true
	case code < codeBin8:
		return value{size: 1}, true
	case code < codeExt8:
		return bytesOf(b, 1<<(code-codeBin8), 0)
	case code < codeFloat32:
		return bytesOf(b, 1<<(code-codeExt8), 1)
	case code < codeUint8:
		return value{size: 1 + 4<<(code-codeFloat32)}, true
	case code < codeInt8:
		return value{size: 1 + 1<<(code-codeUint8)}, true
	case code < codeFixExt1:
		return value{size: 1 + 1<<(code-codeInt8)}, true
	case code < codeStr8:
		return value{size: 2 + 1<<(code-codeFixExt1)}, true
	case code < codeArray16:
		return bytesOf(b, 1<<(code-codeStr8), 0)
	case code < codeMap16:
		width := 2 << (code - codeArray16)
		n, ok := length(b, width)
		return arrayOf(uint64(1+width), n), ok
	default:
		width := 2 << (code - codeMap16)
		n, ok := length(b, width)
		return mapOf(uint64(1+width), n), ok
	}
}

func mapOf(size, n uint64) value   { return value{size: size, children: 2 * n} }
func arrayOf(size, n uint64) value { return value{size: size, children: n, elements: n} }

// bytesOf reads a value whose length has width bytes and that has extra bytes
// besides.
func bytesOf(b []byte, width int, extra uint64) (value, bool) {
	n, ok := length(b, width)
	return value{size: uint64(1+width) + extra + n}, ok
}

// length reads the big-endian length after the code.
func length(b []byte, width int) (uint64, bool) {
	if len(b) < 1+width {
		return 0, false
	}
	switch width {
	case 1:
		return uint64(b[1]), true
	case 2:
		return uint64(binary.BigEndian.Uint16(b[1:])), true
	default:
		return uint64(binary.BigEndian.Uint32(b[1:])), true
	}
}

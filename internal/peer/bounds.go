package peer

import (
	"encoding/binary"

	"github.com/gypsumlug/gypsumlug/internal/result"
)

const (
	// maxElements limits the total number of array elements in a payload.
	maxElements = 1 << 18
	// maxDepth limits the nesting of arrays and maps.
	maxDepth = 16
)

// checkBounds validates the declared lengths and the nesting of a msgpack payload
// before it is decoded. The decoder allocates arrays by their declared length and
// recurses into nested values, so without this check a few invalid bytes could
// exhaust the memory.
func checkBounds(payload []byte) *result.Error {
	var remaining [maxDepth + 1]uint64 // Number of values not yet read at each depth.
	remaining[0] = 1
	depth, elements := 0, uint64(0)
	for {
		for remaining[depth] == 0 {
			if depth == 0 {
				return nil
			}
			depth--
		}
		remaining[depth]--
		v, ok := readValueHeader(payload)
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
		remaining[depth] = v.children
	}
}

// valueHeader describes a msgpack value without its children.
type valueHeader struct {
	// size is the number of bytes of the value, not counting its children.
	size uint64
	// children is the number of values directly inside an array or map; elements
	// is the same for an array and zero for a map.
	children, elements uint64
}

// Each constant is the first code of a group of msgpack formats. The formats of a
// group differ in the width of their length field or number.
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

func readValueHeader(b []byte) (valueHeader, bool) {
	if len(b) == 0 {
		return valueHeader{}, false
	}
	code := b[0]
	switch {
	case code < codeFixMap || code >= codeNegFix:
		return valueHeader{size: 1}, true
	case code < codeFixArray:
		return mapHeader(1, uint64(code-codeFixMap)), true
	case code < codeFixStr:
		return arrayHeader(1, uint64(code-codeFixArray)), true
	case code < codeNil:
		return valueHeader{size: 1 + uint64(code-codeFixStr)}, true
	case code < codeBin8:
		return valueHeader{size: 1}, true
	case code < codeExt8:
		return bytesHeader(b, 1<<(code-codeBin8), 0)
	case code < codeFloat32:
		return bytesHeader(b, 1<<(code-codeExt8), 1)
	case code < codeUint8:
		return valueHeader{size: 1 + 4<<(code-codeFloat32)}, true
	case code < codeInt8:
		return valueHeader{size: 1 + 1<<(code-codeUint8)}, true
	case code < codeFixExt1:
		return valueHeader{size: 1 + 1<<(code-codeInt8)}, true
	case code < codeStr8:
		return valueHeader{size: 2 + 1<<(code-codeFixExt1)}, true
	case code < codeArray16:
		return bytesHeader(b, 1<<(code-codeStr8), 0)
	case code < codeMap16:
		width := 2 << (code - codeArray16)
		n, ok := readLength(b, width)
		return arrayHeader(uint64(1+width), n), ok
	default:
		width := 2 << (code - codeMap16)
		n, ok := readLength(b, width)
		return mapHeader(uint64(1+width), n), ok
	}
}

func mapHeader(size, n uint64) valueHeader { return valueHeader{size: size, children: 2 * n} }
func arrayHeader(size, n uint64) valueHeader {
	return valueHeader{size: size, children: n, elements: n}
}

// bytesHeader reads the header of a string, binary or extension value: its length
// field has width bytes, and extra bytes come in addition to the declared length.
func bytesHeader(b []byte, width int, extra uint64) (valueHeader, bool) {
	n, ok := readLength(b, width)
	return valueHeader{size: uint64(1+width) + extra + n}, ok
}

// readLength reads the big-endian length field that follows the format code.
func readLength(b []byte, width int) (uint64, bool) {
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

package peer

import (
	"encoding/binary"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Bounds of a payload. The largest is a copy of the store, with five elements for each of some
// thousand targets.
const (
	maxNesting  = 32      // arrays and maps within each other
	maxElements = 1 << 20 // of all arrays and maps together
)

// checkPayload returns ErrPayload unless b is a sequence of whole msgpack values within the bounds.
// The decoder itself allocates by the length that an array states, and skips values recursively.
func checkPayload(b []byte) error {
	var pending [maxNesting]uint64 // values to come of each array or map that has begun
	depth, elements := 0, uint64(0)
	for len(b) > 0 {
		size, children := valueSize(b)
		if size == 0 || size > uint64(len(b)) {
			return errors.Wrap(ErrPayload, "invalid or truncated value")
		}
		b = b[size:]
		elements += children
		if elements > maxElements || children > uint64(len(b)) {
			return errors.Wrap(ErrPayload, "too many elements")
		}
		if children > 0 {
			if depth == maxNesting {
				return errors.Wrap(ErrPayload, "nested too deeply")
			}
			pending[depth] = children
			depth++
			continue
		}
		for ; depth > 0; depth-- {
			pending[depth-1]--
			if pending[depth-1] > 0 {
				break
			}
		}
	}
	if depth > 0 {
		return errors.Wrap(ErrPayload, "truncated array or map")
	}
	return nil
}

// valueSize returns the size in bytes of the value that b begins with, and how many values follow it as its
// elements; a map has two for each entry. The size of an array or map is that of its head. It is
// zero if b does not begin with a value's head.
func valueSize(b []byte) (size, children uint64) {
	switch c := b[0]; {
	case msgpcode.IsFixedNum(c):
		return 1, 0
	case msgpcode.IsFixedMap(c):
		return 1, 2 * uint64(c&msgpcode.FixedMapMask)
	case msgpcode.IsFixedArray(c):
		return 1, uint64(c & msgpcode.FixedArrayMask)
	case msgpcode.IsFixedString(c):
		return 1 + uint64(c&msgpcode.FixedStrMask), 0
	}
	switch b[0] {
	case msgpcode.Nil, msgpcode.False, msgpcode.True:
		return 1, 0
	case msgpcode.Uint8, msgpcode.Int8:
		return 2, 0
	case msgpcode.Uint16, msgpcode.Int16, msgpcode.FixExt1:
		return 3, 0
	case msgpcode.FixExt2:
		return 4, 0
	case msgpcode.Uint32, msgpcode.Int32, msgpcode.Float:
		return 5, 0
	case msgpcode.FixExt4:
		return 6, 0
	case msgpcode.Uint64, msgpcode.Int64, msgpcode.Double:
		return 9, 0
	case msgpcode.FixExt8:
		return 10, 0
	case msgpcode.FixExt16:
		return 18, 0
	}
	return sizedValue(b)
}

// sizedValue is valueSize for values whose length follows their code.
func sizedValue(b []byte) (size, children uint64) {
	width := lengthWidth(b[0])
	head := 1 + width
	if width == 0 || len(b) < head {
		return 0, 0
	}
	var length [8]byte
	copy(length[8-width:], b[1:head])
	n := binary.BigEndian.Uint64(length[:])
	switch b[0] {
	case msgpcode.Array16, msgpcode.Array32:
		return uint64(head), n
	case msgpcode.Map16, msgpcode.Map32:
		return uint64(head), 2 * n
	case msgpcode.Ext8, msgpcode.Ext16, msgpcode.Ext32:
		return uint64(head) + 1 + n, 0 // the type of the extension
	}
	return uint64(head) + n, 0
}

// lengthWidth returns how many bytes the length takes that follows a code; zero if none does.
func lengthWidth(code byte) int {
	switch code {
	case msgpcode.Str8, msgpcode.Bin8, msgpcode.Ext8:
		return 1
	case msgpcode.Str16, msgpcode.Bin16, msgpcode.Ext16, msgpcode.Array16, msgpcode.Map16:
		return 2
	case msgpcode.Str32, msgpcode.Bin32, msgpcode.Ext32, msgpcode.Array32, msgpcode.Map32:
		return 4
	}
	return 0
}

package peer

import (
	"encoding/binary"

	"github.com/pkg/errors"
)

// Bounds on the structure of a payload. The decoder makes room for as many elements as an array
// claims to have, and calls itself for each level of nesting.
const (
	maxValues  = 1 << 20 // in all arrays and maps; a copy of the store has six for each item
	maxNesting = 32
)

// checkStructure reports an error unless b is a sequence of whole msgpack values within the bounds.
func checkStructure(b []byte) error {
	var open []int // values still to come in each array or map around the next value, outermost first
	values := 0
	for len(b) > 0 {
		size, children := measure(b)
		if size <= 0 || size > len(b) {
			return errors.Wrap(ErrPayload, "value is not whole")
		}
		b = b[size:]
		values += children
		switch {
		case values > maxValues || len(open) == maxNesting:
			return errors.Wrap(ErrPayload, "too many or too deeply nested values")
		case children > 0:
			open = append(open, children)
		default:
			open = closeValue(open)
		}
	}
	if len(open) > 0 {
		return errors.Wrap(ErrPayload, "values are missing")
	}
	return nil
}

// closeValue counts a value that has ended, and the arrays and maps that end with it.
func closeValue(open []int) []int {
	for len(open) > 0 {
		last := len(open) - 1
		if open[last]--; open[last] > 0 {
			break
		}
		open = open[:last]
	}
	return open
}

// measure returns the size of the value at the beginning of b, which is not empty, and how many
// values follow it as its elements; their sizes are not included. The size is zero if the value is
// invalid or its length is cut off.
func measure(b []byte) (size, children int) {
	switch c := b[0]; {
	case c <= 0x7f || c >= 0xe0: // small integers
		return 1, 0
	case c <= 0x8f: // small map
		return 1, 2 * int(c&0x0f)
	case c <= 0x9f: // small array
		return 1, int(c & 0x0f)
	case c <= 0xbf: // short string
		return 1 + int(c&0x1f), 0
	}
	form := forms[b[0]-0xc0]
	if form.size == 0 || len(b) < form.size {
		return 0, 0
	}
	length := lengthAt(b[1 : 1+form.lengthSize])
	return form.size + length*form.bytes, length * form.children
}

// form describes the values that begin with one of the bytes from 0xc0 to 0xdf.
type form struct {
	size       int // without what the length counts
	lengthSize int // of the length, which follows the first byte
	bytes      int // per unit of the length
	children   int // per unit of the length
}

var forms = [0x20]form{
	0x00: {size: 1}, 0x02: {size: 1}, 0x03: {size: 1}, // nil, false, true
	0x04: {2, 1, 1, 0}, 0x05: {3, 2, 1, 0}, 0x06: {5, 4, 1, 0}, // bytes
	0x07: {3, 1, 1, 0}, 0x08: {4, 2, 1, 0}, 0x09: {6, 4, 1, 0}, // extensions, with their type
	0x0a: {size: 5}, 0x0b: {size: 9}, // floating point
	0x0c: {size: 2}, 0x0d: {size: 3}, 0x0e: {size: 5}, 0x0f: {size: 9}, // unsigned integers
	0x10: {size: 2}, 0x11: {size: 3}, 0x12: {size: 5}, 0x13: {size: 9}, // signed integers
	0x14: {size: 3}, 0x15: {size: 4}, 0x16: {size: 6}, 0x17: {size: 10}, 0x18: {size: 18}, // extensions of fixed size
	0x19: {2, 1, 1, 0}, 0x1a: {3, 2, 1, 0}, 0x1b: {5, 4, 1, 0}, // strings
	0x1c: {3, 2, 0, 1}, 0x1d: {5, 4, 0, 1}, // arrays
	0x1e: {3, 2, 0, 2}, 0x1f: {5, 4, 0, 2}, // maps
}

func lengthAt(b []byte) int {
	switch len(b) {
	case 1:
		return int(b[0])
	case 2:
		return int(binary.BigEndian.Uint16(b))
	case 4:
		return int(binary.BigEndian.Uint32(b))
	}
	return 0
}

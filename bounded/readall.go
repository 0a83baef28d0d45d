// Package bounded reads content into memory whose sender may be faulty and not end it.
package bounded

import (
	"io"

	"github.com/pkg/errors"
)

// ErrNoMemory is returned if there is no memory for what is still to be read.
var ErrNoMemory = errors.New("bounded: the budget of bytes is used")

// Memory decides how many bytes may be held.
type Memory interface {
	// Grow reserves n more bytes. It returns false if there is no room for them.
	Grow(n int64) bool
	// Shrink gives back n bytes.
	Shrink(n int64)
}

// firstBufferSize is the size in bytes of the first buffer for content of unknown length.
const firstBufferSize = 4 << 10

// FirstBuffer returns the size of the first buffer for content whose length is size, or unknown if
// that is negative. One byte more than the content lets the end be read without another buffer.
func FirstBuffer(size int64) int64 {
	if size < 0 {
		return firstBufferSize
	}
	return size + 1
}

// ReadAll reads r, which returns no more than limit bytes without an error, until its end. The
// caller has reserved first bytes, the size of the first buffer; each larger buffer is reserved
// beside the one that it replaces. On return the capacity of the result is reserved, whatever the error. On an
// error ReadAll returns what was read.
func ReadAll(r io.Reader, first, limit int64, memory Memory) ([]byte, error) {
	b := make([]byte, 0, first)
	for {
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == io.EOF:
			return b, nil
		case err != nil:
			return b, err
		case len(b) < cap(b):
			continue
		}
		old := int64(cap(b))
		size := max(min(2*old, limit+1), old+1)
		if !memory.Grow(size) {
			return b, ErrNoMemory
		}
		b = append(make([]byte, 0, size), b...)
		memory.Shrink(old)
	}
}

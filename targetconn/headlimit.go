package targetconn

import (
	"io"

	"github.com/pkg/errors"
)

// Bounds on what is read of a faulty target, whose bytes may be no response and need not end.
const (
	// maxHeadBytes bounds the head of a response, with the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxSkippedBytes bounds the body of a response to another request.
	maxSkippedBytes = 1 << 20
)

// errHeadTooLarge is returned while a head that exceeds maxHeadBytes is read.
var errHeadTooLarge = errors.New("targetconn: head of the response is too large")

// headLimiter is a reader that bounds how many bytes are read while the head of a response is read.
type headLimiter struct {
	r      io.Reader
	inHead bool
	left   int
}

func (l *headLimiter) beginHead() { l.inHead, l.left = true, maxHeadBytes }

func (l *headLimiter) endHead() { l.inHead = false }

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.inHead {
		return l.r.Read(b)
	}
	if l.left <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(b[:min(len(b), l.left)])
	l.left -= n
	return n, err
}

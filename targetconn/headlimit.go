package targetconn

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

// Bounds on what is read of a faulty target, whose bytes may be no response and need not end.
const (
	// maxHeadBytes bounds the head of a response, with the interim responses before it.
	maxHeadBytes = 64 << 10
	// maxHeadLines bounds its lines: a parsed field takes a hundred bytes, however short it is.
	maxHeadLines = 1000
	// maxSkippedBytes bounds the body of a response to another request.
	maxSkippedBytes = 1 << 20
)

// errHeadTooLarge is returned while a head that exceeds maxHeadBytes or maxHeadLines is read.
var errHeadTooLarge = errors.New("targetconn: head of the response is too large")

// headLimiter is a reader that bounds how much is read while the head of a response is read. Bytes of the
// body that are read with the end of a head do no harm: nothing more is read until the head has ended.
type headLimiter struct {
	r         io.Reader
	inHead    bool
	bytesLeft int
	linesLeft int
}

func (l *headLimiter) beginHead() {
	l.inHead, l.bytesLeft, l.linesLeft = true, maxHeadBytes, maxHeadLines
}

func (l *headLimiter) endHead() { l.inHead = false }

// Read implements io.Reader.
func (l *headLimiter) Read(b []byte) (int, error) {
	if !l.inHead {
		return l.r.Read(b)
	}
	if l.bytesLeft <= 0 || l.linesLeft <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.r.Read(b[:min(len(b), l.bytesLeft)])
	l.bytesLeft -= n
	l.linesLeft -= bytes.Count(b[:n], []byte("\n"))
	return n, err
}

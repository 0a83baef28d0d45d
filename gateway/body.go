package gateway

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/bounded"
)

// readBody reads the body of the request, within the budget of bytes if there is one.
func (x *exchange) readBody() Reason {
	limit := x.config.Limits.BodyBytes
	size := x.r.ContentLength // -1 if the body is chunked
	if size > limit {
		return ReasonBodyTooLarge
	}
	first := bounded.FirstBuffer(size)
	if !x.reserve(requestOverhead + first) {
		return ReasonNoMemory
	}
	if x.memory == nil {
		size, first = -1, bounded.FirstBuffer(-1)
	}
	buffer := allocation{h: x.memory, bytes: first}
	x.memory.await(phaseBody)
	stop := x.stopReadingWithDrain()
	body := progressReader{http.MaxBytesReader(x.w, x.r.Body, limit), x.memory}
	b, err := bounded.ReadAll(body, first, limit, &buffer)
	inTime := stop()
	if !x.memory.proceed() {
		return ReasonBodyStalled
	}
	if !inTime {
		return ReasonStopping
	}
	x.body = b
	return x.finishBody(err)
}

// progressReader records what it reads of the caller as progress.
type progressReader struct {
	r      io.Reader
	memory *holding
}

// Read implements io.Reader.
func (p progressReader) Read(b []byte) (int, error) {
	n, err := p.r.Read(b)
	p.memory.progress(n)
	return n, err
}

// stopReadingWithDrain ends the read of the body when the drain ends. stop returns false if it has.
func (x *exchange) stopReadingWithDrain() (stop func() bool) {
	return context.AfterFunc(x.g.drain.ctx, func() {
		// The error is ignored: a connection without deadlines is closed by its timeouts.
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now())
	})
}

// finishBody converts the error of reading the body into a reason.
func (x *exchange) finishBody(err error) Reason {
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, bounded.ErrNoMemory):
		return ReasonNoMemory
	case errors.As(err, &large):
		return ReasonBodyTooLarge
	case err != nil:
		x.bodyErr = err
		return ReasonBodyBroken
	}
	x.bodyComplete = true
	x.content = x.fingerprint()
	x.subjects = x.quarantineSubjects()
	return ReasonNone
}

// unreadTimeout is how long the rest of a refused request's body is still received, so that the
// caller reads the response before the connection is reset; the timeout that net/http uses too.
const unreadTimeout = 500 * time.Millisecond

// maxUnread is how many bytes of the body of a refused request are read and dropped, as in
// net/http.
const maxUnread = 256 << 10

// leavesUnread reports whether a refusal leaves the body unread, so that the connection cannot be
// used again.
func (x *exchange) leavesUnread(reason Reason) bool {
	switch reason {
	case ReasonNoMemory, ReasonBodyTooLarge, ReasonBodyStalled, ReasonStopping:
		return !x.bodyComplete
	}
	return false
}

// prepareClose makes the response the last one of the connection and bounds how long net/http
// reads the rest of the body.
func (x *exchange) prepareClose(reason Reason) {
	x.w.Header().Set("Connection", "close")
	if reason != ReasonBodyStalled && reason != ReasonStopping { // whose deadline has passed
		// The error is ignored: a connection without deadlines is closed by its timeouts.
		_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(unreadTimeout))
	}
}

// dropBody reads what the caller has already sent of the body. net/http does so too, unless the
// caller has asked for the connection to be closed.
func (x *exchange) dropBody() {
	if !x.r.Close {
		return
	}
	if err := http.NewResponseController(x.w).Flush(); err != nil {
		return
	}
	// The error is ignored: the connection is closed next.
	_, _ = io.CopyN(io.Discard, x.r.Body, maxUnread)
}

package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/target"
)

// Sizes of request bodies in bytes.
const (
	// maxBufferedBody is how much of a body is buffered. A shorter body can
	// be sent again on a retry; any other is streamed and sent only once.
	maxBufferedBody = 256 << 10
	bodyFrameSize   = 16 << 10
)

// requestBody is the body of a caller's request.
type requestBody struct {
	buffered []byte
	rest     io.Reader // remainder of a streamed body; nil if fully buffered
	length   int64     // Content-Length; -1 if unknown
}

// errBodyTooLarge is returned for a body larger than Config.MaxBody.
var errBodyTooLarge = errors.New("entry: body too large")

// readBody buffers the beginning of the request body, up to maxBufferedBody bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (*requestBody, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	src := http.MaxBytesReader(w, r.Body, limit)
	buffered, err := io.ReadAll(io.LimitReader(src, maxBufferedBody))
	if err != nil {
		return nil, bodyError(err)
	}
	b := &requestBody{buffered: buffered, length: r.ContentLength}
	if len(buffered) == maxBufferedBody {
		b.rest = src
	}
	return b, nil
}

// stopReading ends the read of the body.
func (x *exchange) stopReading() {
	// The error is ignored: a connection without deadlines is closed with the server.
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now())
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errBodyTooLarge
	}
	return errors.Wrap(err, "entry: read request body")
}

func (b *requestBody) present() bool  { return len(b.buffered) > 0 }
func (b *requestBody) streamed() bool { return b.rest != nil }

// fingerprint returns a hash of method, URI and buffered body, by which an agent
// detects an idempotency key that is reused for a different request.
func (b *requestBody) fingerprint(r *http.Request, uri string) [32]byte {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+" "+uri+"\n")
	_, _ = h.Write(b.buffered)
	return [32]byte(h.Sum(nil))
}

// send sends the body in peer.Body frames. If reading the body fails, it
// reports the reason on failed and closes the stream.
func (b *requestBody) send(ctx context.Context, s *peer.Stream, failed chan<- outcome.Reason) {
	var src io.Reader = bytes.NewReader(b.buffered)
	if b.rest != nil {
		src = io.MultiReader(src, b.rest)
	}
	buf := make([]byte, bodyFrameSize)
	for seq := uint32(0); ; seq++ {
		n, err := io.ReadFull(src, buf)
		last := errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF)
		if err != nil && !last {
			failed <- bodyReason(err)
			s.Close()
			return
		}
		if s.Send(ctx, &peer.Body{Seq: seq, Data: bytes.Clone(buf[:n]), Last: last}) != nil || last {
			return
		}
	}
}

func bodyReason(err error) outcome.Reason {
	if errors.Is(bodyError(err), errBodyTooLarge) {
		return outcome.BodyTooLarge
	}
	return outcome.CallerLeft
}

// forwardedHeader returns the end-to-end header fields of a request.
func forwardedHeader(r *http.Request) []peer.HeaderField {
	fields := target.EndToEnd(r.Header)
	out := make([]peer.HeaderField, len(fields))
	for i, f := range fields {
		out[i] = peer.HeaderField(f)
	}
	return out
}

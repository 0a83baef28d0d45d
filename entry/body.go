package entry

import (
	"bytes"
	"context"
	"crypto/sha256"
	"io"
	"net/http"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/outcome"
	"github.com/springgate/springgate/peer"
	"github.com/springgate/springgate/target"
)

// Sizes of a request body.
const (
	// heldBody is how much of a body is held so that it can be sent again. A
	// longer body is streamed and sent once.
	heldBody  = 256 << 10
	bodyPiece = 16 << 10
)

// requestBody is the body of a caller's request.
type requestBody struct {
	held   []byte
	rest   io.Reader // what follows held; nil if held is all
	length int64     // -1 if not known
}

// errBodyTooLarge means that the body is over the entry's limit.
var errBodyTooLarge = errors.New("entry: body too large")

// readBody reads what is to be held of a body.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (*requestBody, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &requestBody{}, nil
	}
	if r.ContentLength > limit {
		return nil, errBodyTooLarge
	}
	src := http.MaxBytesReader(w, r.Body, limit)
	held, err := io.ReadAll(io.LimitReader(src, heldBody))
	if err != nil {
		return nil, bodyError(err)
	}
	b := &requestBody{held: held, length: r.ContentLength}
	if len(held) == heldBody {
		b.rest = src
	}
	return b, nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errBodyTooLarge
	}
	return errors.Wrap(err, "entry: read body")
}

func (b *requestBody) present() bool  { return len(b.held) > 0 }
func (b *requestBody) streamed() bool { return b.rest != nil }

// print identifies the request for its idempotency key.
func (b *requestBody) print(r *http.Request, uri string) [32]byte {
	h := sha256.New()
	_, _ = io.WriteString(h, r.Method+" "+uri+"\n")
	_, _ = h.Write(b.held)
	return [32]byte(h.Sum(nil))
}

// send sends the body as frames. A failure to read it ends the stream and is
// reported on failed.
func (b *requestBody) send(ctx context.Context, s *peer.Stream, failed chan<- outcome.Reason) {
	var src io.Reader = bytes.NewReader(b.held)
	if b.rest != nil {
		src = io.MultiReader(src, b.rest)
	}
	buf := make([]byte, bodyPiece)
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

// forwardedHeader returns the end-to-end fields of a request.
func forwardedHeader(r *http.Request) []peer.HeaderField {
	fields := target.EndToEnd(r.Header)
	out := make([]peer.HeaderField, len(fields))
	for i, f := range fields {
		out[i] = peer.HeaderField(f)
	}
	return out
}

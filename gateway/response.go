package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/springgate/springgate/bounded"
	"github.com/springgate/springgate/clock"
)

// hopHeaders are header fields that apply to a single connection and are not forwarded.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Expect"}

// forwardHeader returns a copy of a header without the fields of its connection.
func forwardHeader(in http.Header) http.Header {
	out := in.Clone()
	for _, list := range in["Connection"] {
		for _, name := range strings.Split(list, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopHeaders {
		out.Del(name)
	}
	return out
}

// bufferedResponse is a complete non-streaming response of a target.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// write sends the response to the caller. Its error is errReaderStalled if the caller was cut off;
// other errors are ignored, because a caller that has disconnected needs no response.
func (h *bufferedResponse) write(x *exchange) error {
	copyHeader(x.w.Header(), h.header)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	x.w.WriteHeader(h.status)
	if err := x.write(h.body, false); err == errReaderStalled {
		return err
	}
	return nil
}

// writeFailure is the result of an attempt whose response could not be written to the caller.
func writeFailure(err error) result {
	if err == errReaderStalled {
		return result{reason: ReasonReaderStalled, ran: true, sent: true}
	}
	return result{reason: ReasonCallerGone, ran: true, sent: true}
}

func copyHeader(dst, src http.Header) {
	for name, values := range forwardHeader(src) {
		dst[name] = values
	}
}

// receivePlain buffers a response until it is complete, or until it reaches the buffer limit or
// the end of the memory for it.
func (a *attempt) receivePlain() result {
	if a.x.started { // a stream is being resumed; its remaining events were expected
		return result{reason: ReasonTargetError, ran: true, sent: true}
	}
	limit := a.x.g.cfg.MaxBufferedResponse
	body, err := a.readPlain(limit)
	if err != nil && err != bounded.ErrNoMemory {
		return a.failure(err)
	}
	if err == bounded.ErrNoMemory || int64(len(body)) == limit {
		a.large = body
		return result{}
	}
	held := &bufferedResponse{status: a.resp.StatusCode, header: a.resp.Header, body: body}
	if a.resp.StatusCode >= http.StatusInternalServerError {
		return result{reason: ReasonTargetError, ran: true, sent: true, held: held}
	}
	a.plain = held
	return result{}
}

// readPlain reads up to limit bytes of the response. Its error is bounded.ErrNoMemory if there is no
// memory for all of them; it then returns the bytes that were read, none if there was no memory at
// all.
func (a *attempt) readPlain(limit int64) ([]byte, error) {
	size := a.resp.ContentLength
	if a.x.memory == nil || size > limit {
		size = -1
	}
	first := bounded.FirstBuffer(size)
	if !a.memory.Grow(first) {
		return []byte{}, bounded.ErrNoMemory
	}
	return bounded.ReadAll(io.LimitReader(a.resp, limit), first, limit, &a.memory)
}

func (a *attempt) relayPlain() result {
	a.x.firstEventDelay = clock.Since(a.x.start)
	if err := a.plain.write(a.x); err != nil {
		return writeFailure(err)
	}
	return result{ran: true, sent: true}
}

// relayLarge relays a response that was not buffered whole. Once it has started, the
// request can no longer be retried.
func (a *attempt) relayLarge() result {
	copyHeader(a.x.w.Header(), a.resp.Header)
	if a.resp.ContentLength >= 0 {
		a.x.w.Header().Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	a.x.w.WriteHeader(a.resp.StatusCode)
	a.x.started, a.x.unresumable = true, true
	w := &callerWriter{x: a.x}
	if _, err := io.Copy(w, io.MultiReader(bytes.NewReader(a.large), a.resp)); err != nil {
		if w.err != nil {
			return writeFailure(w.err)
		}
		return a.failure(err)
	}
	return result{ran: true, sent: true}
}

package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

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

func (h *bufferedResponse) write(w http.ResponseWriter) {
	copyHeader(w.Header(), h.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	w.WriteHeader(h.status)
	// The error is ignored: a caller that has disconnected needs no response.
	_, _ = w.Write(h.body)
}

func copyHeader(dst, src http.Header) {
	for name, values := range forwardHeader(src) {
		dst[name] = values
	}
}

// receivePlain buffers a response until it is complete, or until it reaches the buffer limit.
func (a *attempt) receivePlain() result {
	if a.x.started { // a stream is being resumed; its remaining events were expected
		return result{reason: ReasonTargetError, ran: true, sent: true}
	}
	limit := a.x.g.cfg.MaxBufferedResponse
	body, err := io.ReadAll(io.LimitReader(a.resp, limit))
	if err != nil {
		return a.failure(err)
	}
	if int64(len(body)) == limit {
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

func (a *attempt) relayPlain() {
	a.x.firstEventDelay = clock.Since(a.x.start)
	a.plain.write(a.x.w)
}

// relayLarge relays a response that reached the buffer limit. Once it has started, the
// request can no longer be retried.
func (a *attempt) relayLarge() result {
	copyHeader(a.x.w.Header(), a.resp.Header)
	if a.resp.ContentLength >= 0 {
		a.x.w.Header().Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	a.x.w.WriteHeader(a.resp.StatusCode)
	a.x.started, a.x.unresumable = true, true
	if _, err := io.Copy(a.x.w, io.MultiReader(bytes.NewReader(a.large), a.resp)); err != nil {
		return a.failure(err)
	}
	return result{ran: true, sent: true}
}

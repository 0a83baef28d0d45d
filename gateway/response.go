package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/targetconn"
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

// relayPlain buffers a response until it is complete, then relays it. A response that
// reaches the buffer limit is relayed as it arrives.
func (a *attempt) relayPlain(resp *targetconn.Response, watchdog *clock.Timer) result {
	body, err := io.ReadAll(io.LimitReader(resp, a.x.g.cfg.MaxBufferedResponse))
	if err == nil && int64(len(body)) == a.x.g.cfg.MaxBufferedResponse {
		if watchdog != nil {
			watchdog.Stop()
		}
		return a.relayLarge(resp, body)
	}
	if err != nil {
		return a.failure(err)
	}
	held := &bufferedResponse{status: resp.StatusCode, header: resp.Header, body: body}
	if resp.StatusCode >= http.StatusInternalServerError {
		return result{reason: ReasonTargetError, ran: true, sent: true, held: held}
	}
	if a.x.started { // a stream is being resumed; its remaining events were expected
		return result{reason: ReasonTargetError, ran: true, sent: true}
	}
	a.x.firstEventDelay = clock.Since(a.x.start)
	held.write(a.x.w)
	return result{sent: true, ran: true}
}

// relayLarge relays a response that reached the buffer limit. Once it has started, the
// request can no longer be retried.
func (a *attempt) relayLarge(resp *targetconn.Response, head []byte) result {
	copyHeader(a.x.w.Header(), resp.Header)
	if resp.ContentLength >= 0 {
		a.x.w.Header().Set("Content-Length", strconv.FormatInt(resp.ContentLength, 10))
	}
	a.x.w.WriteHeader(resp.StatusCode)
	a.x.started = true
	if _, err := io.Copy(a.x.w, io.MultiReader(bytes.NewReader(head), resp)); err != nil {
		return a.failure(err)
	}
	return result{sent: true, ran: true}
}

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

// hopHeaders concern one connection only and are not passed on.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding",
	"Upgrade", "Content-Length", "Expect"}

// forwardHeader copies a header without the fields of its connection.
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

// bufferedResponse is a whole plain answer of a target.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func (h *bufferedResponse) write(w http.ResponseWriter) {
	copyHeader(w.Header(), h.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(h.body)))
	w.WriteHeader(h.status)
	// A caller that is gone needs no answer.
	_, _ = w.Write(h.body)
}

func copyHeader(dst, src http.Header) {
	for name, values := range forwardHeader(src) {
		dst[name] = values
	}
}

// relayPlain holds an answer until it is whole and passes it on. An answer beyond
// the memory allowed is passed on as it comes.
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
	if a.x.started { // the rest of a stream was due
		return result{reason: ReasonTargetError, ran: true, sent: true}
	}
	a.x.firstEventDelay = clock.Since(a.x.start)
	held.write(a.x.w)
	return result{sent: true, ran: true}
}

// relayLarge passes a long answer on. From here on it cannot be taken back.
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

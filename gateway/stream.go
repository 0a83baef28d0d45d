package gateway

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/targetconn"
)

// maxEvent bounds one event in bytes.
const maxEvent = 1 << 20

// event is one whole event of a stream as it came.
type event struct {
	raw []byte
	id  string
}

// eventReader splits a stream into events. Each ends with an empty line.
type eventReader struct{ r *bufio.Reader }

// next returns the next whole event. A stream that ends between two events
// returns io.EOF; one that ends inside an event io.ErrUnexpectedEOF.
func (e *eventReader) next() (event, error) {
	var ev event
	for {
		line, err := e.r.ReadSlice('\n')
		ev.raw = append(ev.raw, line...)
		if len(ev.raw) > maxEvent {
			return event{}, bufio.ErrBufferFull
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(ev.raw) > 0:
			return event{}, io.ErrUnexpectedEOF
		case err != nil:
			return event{}, err
		}
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return ev, nil
		}
		if id, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			ev.id = string(bytes.TrimSpace(id))
		}
	}
}

// stream passes events on, each as soon as it is whole.
func (a *attempt) stream(resp *targetconn.Response, watchdog *clock.Timer) result {
	x := a.x
	events := eventReader{bufio.NewReader(resp)}
	flush := http.NewResponseController(x.w)
	for {
		ev, err := events.next()
		if err == io.EOF {
			return a.streamEnd(resp)
		}
		if err != nil {
			return a.streamBroken(err)
		}
		a.heard()
		if watchdog != nil {
			watchdog.Reset(a.stallTimeout())
		}
		if !x.started {
			copyHeader(x.w.Header(), resp.Header)
			x.w.WriteHeader(resp.StatusCode)
			x.started = true
		}
		_, err = x.w.Write(ev.raw)
		if err == nil {
			err = flush.Flush()
		}
		if err != nil {
			return result{reason: ReasonCallerGone, ran: true, sent: true}
		}
		x.events++
		if ev.id != "" {
			x.lastEvent = ev.id
		}
	}
}

// stallFactor is how many times longer than forecast a stream may pause.
const stallFactor = 3

// stallTimeout is how long the stream may pause before it is resumed elsewhere.
func (a *attempt) stallTimeout() time.Duration {
	return max(a.x.g.cfg.StallTimeout, 2*a.x.route.MaxGap, stallFactor*a.choice.Forecast.Gap)
}

// streamEnd ends the answer. A stream without any event is passed on too.
func (a *attempt) streamEnd(resp *targetconn.Response) result {
	if !a.x.started {
		copyHeader(a.x.w.Header(), resp.Header)
		a.x.w.WriteHeader(resp.StatusCode)
	}
	return result{sent: true, ran: true}
}

func (a *attempt) streamBroken(err error) result {
	res := a.failed(err)
	switch {
	case res.reason == ReasonSlowStart && a.events > 0:
		res.reason = ReasonStalled
	case res.reason == ReasonConnLost && a.events > 0:
		res.reason = ReasonBrokenStream
	}
	return res
}

// heard notes an event for the book and the histograms.
func (a *attempt) heard() {
	now := clock.Now()
	x := a.x
	if x.events == 0 {
		x.firstAt = now.Sub(x.start)
		observe(x.g.stats.firstEvent, x.firstAt)
	}
	if a.events == 0 {
		a.begun()
		observe(x.g.stats.forecastError, now.Sub(a.began)-a.choice.Forecast.FirstEvent)
	}
	if !a.lastAt.IsZero() {
		x.maxGap = max(x.maxGap, now.Sub(a.lastAt))
	}
	a.lastAt = now
	a.events++
	x.g.book.RecordActivity(now, a.choice.Target, a.unread)
	a.unread = 0
}

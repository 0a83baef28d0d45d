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

// maxEvent bounds the size of one event in bytes.
const maxEvent = 1 << 20

// event is one complete event of a stream, as received.
type event struct {
	raw []byte
	id  string
}

// eventReader splits a stream into events, each terminated by an empty line.
type eventReader struct{ r *bufio.Reader }

// next returns the next complete event. It returns io.EOF if the stream ends between two
// events, and io.ErrUnexpectedEOF if it ends inside an event.
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

// relayStream relays events, each as soon as it is complete.
func (a *attempt) relayStream(resp *targetconn.Response, watchdog *clock.Timer) result {
	x := a.x
	events := eventReader{bufio.NewReader(resp)}
	flush := http.NewResponseController(x.w)
	for {
		ev, err := events.next()
		if err == io.EOF {
			return a.endStream(resp)
		}
		if err != nil {
			return a.streamFailure(err)
		}
		a.recordEvent()
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

// stallFactor is how many times the forecast gap between two events a stream may pause.
const stallFactor = 3

// stallTimeout is how long the stream may pause before it is resumed at another target.
func (a *attempt) stallTimeout() time.Duration {
	return max(a.x.g.cfg.StallTimeout, 2*a.x.route.MaxGap, stallFactor*a.choice.Forecast.Gap)
}

// endStream completes the response. A stream without any event is relayed too.
func (a *attempt) endStream(resp *targetconn.Response) result {
	if !a.x.started {
		copyHeader(a.x.w.Header(), resp.Header)
		a.x.w.WriteHeader(resp.StatusCode)
	}
	return result{sent: true, ran: true}
}

func (a *attempt) streamFailure(err error) result {
	res := a.failure(err)
	switch {
	case res.reason == ReasonLateFirstEvent && a.events > 0:
		res.reason = ReasonStalled
	case res.reason == ReasonConnLost && a.events > 0:
		res.reason = ReasonBrokenStream
	}
	return res
}

// recordEvent reports an event to the balancer and updates the histograms.
func (a *attempt) recordEvent() {
	now := clock.Now()
	x := a.x
	if x.events == 0 {
		x.firstEventDelay = now.Sub(x.start)
		observe(x.g.stats.firstEvent, x.firstEventDelay)
	}
	if a.events == 0 {
		a.stopExpiry()
		observe(x.g.stats.forecastError, now.Sub(a.sentAt)-a.choice.Forecast.FirstEvent)
	}
	if !a.lastEventAt.IsZero() {
		x.maxGap = max(x.maxGap, now.Sub(a.lastEventAt))
	}
	a.lastEventAt = now
	a.events++
	x.g.balancer.RecordActivity(now, a.choice.Target, a.pendingPrefill)
	a.pendingPrefill = 0
}

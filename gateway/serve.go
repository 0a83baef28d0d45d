package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/quarantine"
)

// exchange is one request of a caller on its way.
type exchange struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	call     Call
	config   *fleet.Config
	route    *fleet.Route
	service  string
	team     *fleet.Team
	body     []byte
	content  quarantine.Fingerprint
	finding  *quarantine.Finding // set if it is sent no more
	probing  bool                // it is sent once all the same
	start    time.Time
	deadline time.Time

	sends     int      // targets that the request was sent to
	denied    int      // places that a target's home denied
	dials     int      // targets that could not be reached
	ran       bool     // a target may have run it
	avoid     []string // instances that failed it
	lastEvent string   // id of the last event passed on
	events    int
	started   bool // the head of the answer is passed on
	waited    time.Duration
	tightest  time.Duration // objective of the service's callers
	returning bool          // the caller was refused before
	firstAt   time.Duration
	maxGap    time.Duration   // longest pause between events
	target    string          // of the last send
	choice    dispatch.Choice // of the last send
	retries   []Reason
	freeFrom  time.Time // when a target takes a request again; zero if that is not known
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inflight.Add(1)
	defer g.inflight.Add(-1)
	x := &exchange{g: g, w: w, r: r, call: g.dialect.Decode(r.Header), start: clock.Now()}
	x.lastEvent = x.call.LastEvent
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if reason := x.admit(); reason != ReasonNone {
		x.refuse(reason)
		return
	}
	ctx, cancel := clock.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.run(ctx)
}

// admit matches the request with the configuration and reads its body.
func (x *exchange) admit() Reason {
	x.config = x.g.Config()
	if x.config == nil {
		return ReasonNoConfig
	}
	x.route = x.config.Match(hostOf(x.r.Host), x.r.URL.Path)
	if x.route == nil {
		return ReasonNoRoute
	}
	team, ok := x.config.Authorize(x.route, x.call.Key)
	if !ok {
		return ReasonUnknownKey
	}
	x.team = team
	left := x.route.Timeout
	if x.call.Remaining > 0 && x.call.Remaining < left {
		left = x.call.Remaining
	}
	x.deadline = x.start.Add(left)
	x.returning = x.g.returns.IsRetry(x.route.Name, x.call.Remaining)
	x.service = x.route.Shares[pickShare(x.route.Shares)].Service
	return x.readBody()
}

func (x *exchange) readBody() Reason {
	limit := x.config.Limits.BodyBytes
	b, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return ReasonBodyTooLarge
	case err != nil:
		return ReasonBodyBroken
	}
	x.body = b
	x.content = x.fingerprint()
	return ReasonNone
}

// hostOf strips the port of a Host header.
func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// pickShare returns the index of a share at random, by weight.
func pickShare(shares []fleet.Share) int {
	total := 0
	for _, s := range shares {
		total += s.Weight
	}
	if len(shares) == 1 || total <= 0 {
		return 0
	}
	n := rand.IntN(total)
	for i, s := range shares {
		n -= s.Weight
		if n < 0 {
			return i
		}
	}
	return 0
}

// refuse ends a request with an answer of our own.
func (x *exchange) refuse(reason Reason) {
	status := refusalStatus(reason, x.ran)
	x.g.stats.failed(reason)
	x.logEnd(status, reason)
	if x.started {
		panic(http.ErrAbortHandler) // the answer must not look complete
	}
	h := x.w.Header()
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(x.retryAfter().Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Type", "application/problem+json")
	body := fmt.Sprintf("{\"status\":%d,\"reason\":%q}\n", status, reason)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	// A caller that is gone needs no answer.
	_, _ = io.WriteString(x.w, body)
}

// retryAfter is when a refused caller should come back.
func (x *exchange) retryAfter() time.Duration {
	left := clock.Until(x.deadline)
	if x.deadline.IsZero() { // it was refused before its route was known
		left = x.call.Remaining
	}
	if left <= 0 || x.g.cfg.Off.Has(mechanism.RetryAfter) {
		return retryAfterUnknown
	}
	free := time.Duration(0)
	if !x.freeFrom.IsZero() {
		free = max(clock.Until(x.freeFrom), 0)
	}
	return dispatch.RetryAfter(left, free, x.g.cfg.RetryAfter, x.g.cfg.RetrySpread, rand.Float64())
}

// retryAfterUnknown is said where it is not known how long the caller waits.
const retryAfterUnknown = time.Second

// logEnd writes the line that says how a request ended.
func (x *exchange) logEnd(status int, reason Reason) {
	f := logrus.Fields{"request": x.call.ID, "status": status, "ms": clock.Since(x.start).Milliseconds(),
		"wait_ms": x.waited.Milliseconds(), "sends": x.sends}
	if x.config != nil {
		f["config"] = x.config.Version
	}
	if x.route != nil {
		f["route"], f["service"] = x.route.Name, x.service
	}
	if x.team != nil {
		f["team"] = x.team.Name
	}
	if x.target != "" {
		f["target"], f["load"], f["unread"] = x.target, x.choice.Load.Requests, x.choice.Load.PendingPrefill
		f["forecast_ms"] = x.choice.Forecast.FirstEvent.Milliseconds()
	}
	if x.sends > 0 || x.finding != nil {
		f["content"] = x.content.String()
	}
	if x.finding != nil {
		logFinding(f, x.finding, clock.Now())
	}
	if x.events > 0 {
		f["events"], f["first_ms"], f["gap_ms"] = x.events, x.firstAt.Milliseconds(), x.maxGap.Milliseconds()
	}
	if x.denied > 0 {
		f["denied"] = x.denied
	}
	if x.returning {
		f["returning"] = true
	}
	if len(x.retries) > 0 {
		f["retries"] = x.retries
	}
	if reason == ReasonNone {
		x.g.log.WithFields(f).Info("Answered.")
		return
	}
	f["reason"] = reason
	x.g.log.WithFields(f).Warn("Not answered.")
}

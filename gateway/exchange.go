package gateway

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/httpclient"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/quarantine"
)

// exchange is the state of one request of a caller.
type exchange struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	call     Call
	config   *fleet.Config
	route    *fleet.Route
	service  string
	team     *fleet.Team
	urgency  urgency
	body     []byte
	memory   *holding // nil before the body is read, and without a budget
	content  quarantine.Fingerprint
	subjects []quarantine.Fingerprint // the content and the parts of the prompt
	finding  *quarantine.Finding      // set if the request is quarantined
	probing  bool                     // the request is sent once as a probe although it is quarantined
	start    time.Time
	deadline time.Time

	sends           int               // times that the request was sent to a target, without those in flight
	inFlight        int               // attempts that have not ended
	denied          int               // reservations that were denied or deferred
	dials           int               // targets that could not be reached
	ran             bool              // a target may have run the request
	held            *bufferedResponse // last error response of a target, relayed if no other target succeeds
	avoid           []string          // instances that were already tried
	lastEvent       string            // ID of the last event relayed
	events          int
	bodyComplete    bool // the body has been read
	bodyErr         error
	unresumable     bool // the part of the response that was relayed cannot be continued by another target
	started         bool // the response header has been written to the caller
	waited          time.Duration
	tightest        time.Duration // tightest objective of the service's callers
	isRetry         bool          // the request is probably a retry of a refused caller
	level           levelState
	firstEventDelay time.Duration
	maxGap          time.Duration   // longest pause between events
	target          string          // of the last send
	choice          dispatch.Choice // of the last send
	retries         []Reason        // for each retry, why the preceding attempt failed
	nextFreeAt      time.Time       // when the first target accepts a request again; zero if unknown
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.inflight.Add(1)
	defer g.inflight.Add(-1)
	x := &exchange{g: g, w: w, r: r, call: g.dialect.Decode(r.Header), start: clock.Now()}
	x.lastEvent = x.call.LastEvent
	defer x.release()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x.boundWrites(time.Time{}) // the deadline of the request before on this connection
	if reason := x.admit(); reason != ReasonNone {
		x.refuse(reason)
		return
	}
	x.boundWrites(time.Now().Add(clock.Until(x.deadline) + httpclient.DeliveryTimeout))
	ctx, cancel := clock.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	ctx, release := x.g.drain.bound(ctx)
	defer release()
	x.run(ctx)
}

// boundWrites sets until when writes to the caller may wait for it to read.
func (x *exchange) boundWrites(until time.Time) {
	// The error is ignored: a connection without deadlines is closed by its timeouts.
	_ = http.NewResponseController(x.w).SetWriteDeadline(until)
}

// admit matches the request with the configuration, checks the admission level, and reads the body.
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
	x.isRetry = x.g.retryDetector.IsRetry(x.route.Name, x.call.Remaining)
	x.service = x.route.Shares[pickShare(x.route.Shares)].Service
	x.urgency = x.urgencyOf()
	if reason := x.checkLevel(); reason != ReasonNone {
		return reason
	}
	return x.readBody()
}

// hostOf strips the port of a Host header.
func hostOf(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		return h
	}
	return host
}

// pickShare returns the index of a random share, chosen by weight.
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

// refuse ends the request with a response generated by the gateway.
func (x *exchange) refuse(reason Reason) {
	status := refusalStatus(reason, x.ran)
	x.g.stats.recordFailure(reason)
	x.logEnd(status, reason)
	if x.started {
		x.g.stats.truncated.Inc(1)
		panic(http.ErrAbortHandler) // the response must not look complete
	}
	h := x.w.Header()
	unread := x.leavesUnread(reason)
	if unread {
		x.prepareClose(reason)
	}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.FormatFloat(x.retryAfter().Seconds(), 'f', 2, 64))
	}
	h.Set("Content-Type", "application/problem+json")
	body := fmt.Sprintf("{\"status\":%d,\"reason\":%q}\n", status, reason)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	x.w.WriteHeader(status)
	// The error is ignored: a caller that has disconnected needs no response.
	_, _ = io.WriteString(x.w, body)
	if unread {
		x.dropBody()
	}
}

// retryAfter is how long a refused caller should wait before it retries.
func (x *exchange) retryAfter() time.Duration {
	left := clock.Until(x.deadline)
	if x.deadline.IsZero() { // refused before its route was known
		left = x.call.Remaining
	}
	if left <= 0 || x.g.cfg.Off.Has(mechanism.RetryAfter) {
		return retryAfterUnknown
	}
	free := time.Duration(0)
	if !x.nextFreeAt.IsZero() {
		free = max(clock.Until(x.nextFreeAt), 0)
	}
	return dispatch.RetryAfter(left, free, x.g.cfg.RetryAfter, x.g.cfg.RetrySpread, x.urgency.returnOrder(rand.Float64()))
}

// retryAfterUnknown is the retry delay if the caller's remaining time is not known.
const retryAfterUnknown = time.Second

// logEnd logs how the request ended.
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
		x.logFinding(f, clock.Now())
	}
	if x.events > 0 {
		f["events"], f["first_ms"], f["gap_ms"] = x.events, x.firstEventDelay.Milliseconds(), x.maxGap.Milliseconds()
	}
	if x.denied > 0 {
		f["denied"] = x.denied
	}
	if x.isRetry {
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
	x.logFinalRefusal(f, reason)
	x.level.log(f)
	if x.started {
		f["truncated"] = true
	}
	x.g.log.WithFields(f).Warn("Not answered.")
}

package gateway

import (
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/fleet"
	"github.com/springgate/springgate/mechanism"
	"github.com/springgate/springgate/overload"
)

// Level decides on the arrival of a request whether it may ask for a place at a target. It is
// implemented by overload.Controller.
type Level interface {
	Admit(now time.Time, r overload.Request) overload.Decision
	RecordPlaced(now time.Time, r overload.Request)
	RecordUnplaced(now time.Time, r overload.Request)
}

// levelState is what the admission level of a service has decided on a request.
type levelState struct {
	asked    bool // the level was consulted
	recorded bool // whether the request found a place has been recorded, or must not be
	request  overload.Request
	decision overload.Decision
}

// hasClasses reports whether requests of the service differ in rank or team.
func (x *exchange) hasClasses() bool {
	return x.config.HasTeams() || x.urgency.differs()
}

// checkLevel refuses the request if it is over the share of its rank and team.
func (x *exchange) checkLevel() Reason {
	level := x.g.cfg.Level
	if level == nil || x.g.cfg.Off.Has(mechanism.AdmissionLevel) || !x.hasClasses() {
		return ReasonNone
	}
	l := &x.level
	l.asked = true
	l.request = overload.Request{Service: x.service, Work: x.g.balancer.Work(x.start, x.service, x.call.Prompt), Standing: x.levelStanding(),
		Class: overload.Class{Rank: x.urgency.rank, Team: x.teamName()}}
	l.decision = level.Admit(clock.Now(), l.request)
	if l.decision.Admitted {
		return ReasonNone
	}
	x.g.stats.recordOverShare(x.service, l.request.Class.Rank)
	x.skipBody()
	return ReasonOverShare
}

// maxSkippedBody is the longest body of a refused request that is read and discarded to keep the
// connection, in bytes.
const maxSkippedBody = 64 << 10

// skipBody discards the body of a refused request if it is small and there. Otherwise the connection
// is closed after the response, which then does not wait for the body.
func (x *exchange) skipBody() {
	start, length := clock.Now(), x.r.ContentLength
	if length == 0 {
		return
	}
	c := http.NewResponseController(x.w)
	if length < 0 || length > maxSkippedBody || c.SetReadDeadline(start.Add(x.g.cfg.SkipBodyTimeout)) != nil {
		x.w.Header().Set("Connection", "close")
		return
	}
	_, err := io.Copy(io.Discard, x.r.Body)
	// Past the deadline the server may have found the connection broken.
	if err != nil || c.SetReadDeadline(time.Time{}) != nil || clock.Since(start) >= x.g.cfg.SkipBodyTimeout {
		x.w.Header().Set("Connection", "close")
	}
}

func (x *exchange) levelStanding() overload.Standing {
	switch {
	case x.call.LastEvent != "" && x.route.Kind == fleet.Streaming:
		return overload.Begun
	case x.isRetry && !x.g.cfg.Off.Has(mechanism.OverdueLast):
		return overload.Returned
	}
	return overload.Fresh
}

// recordPlacement records how the first search for a target ended. Hedges and attempts after the
// first are no demand of callers; a request without a usable target, or one that must not be run,
// says nothing about the room at targets.
func (x *exchange) recordPlacement(reason Reason) {
	l := &x.level
	if !l.asked || l.recorded {
		return
	}
	l.recorded = true
	switch reason {
	case ReasonNone:
		x.g.cfg.Level.RecordPlaced(clock.Now(), l.request)
	case ReasonSaturated, ReasonPaced:
		l.request.Waited = x.waited
		x.g.cfg.Level.RecordUnplaced(clock.Now(), l.request)
	}
}

// log adds the rank of a request that was not answered, and which part of its class was admitted,
// while a level is in force.
func (l *levelState) log(f logrus.Fields) {
	if l.asked && l.decision.Limited {
		f["rank"], f["fraction"] = l.request.Class.Rank, rounded(l.decision.Fraction)
	}
}

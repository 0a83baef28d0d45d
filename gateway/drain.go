package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/dispatch"
)

// errStopping is the cause with which requests are ended that outlive the drain.
var errStopping = errors.New("gateway: the process stops")

// drain is the end of a gateway's service. Requests that have not been answered when it ends are
// ended, so that each caller still gets an answer.
type drain struct {
	ctx    context.Context // cancelled when the drain ends
	finish context.CancelCauseFunc
	until  atomic.Pointer[time.Time] // nil before the drain begins
}

func newDrain() *drain {
	ctx, finish := context.WithCancelCause(context.Background())
	return &drain{ctx: ctx, finish: finish}
}

// begin begins the drain, which ends at the given time.
func (d *drain) begin(at time.Time) {
	d.until.Store(&at)
	clock.AfterFunc(clock.Until(at), func() { d.finish(errStopping) })
}

// bound returns a context that is also cancelled when the drain ends.
func (d *drain) bound(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(d.ctx, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// allows reports whether a request ends before the drain if it runs from now on for the given time.
func (d *drain) allows(run time.Duration) bool {
	until := d.until.Load()
	return until == nil || clock.Until(*until) > run
}

// endsInTime reports whether the request would end before the drain at the chosen target. A stream
// that has begun goes on as far as it can.
func (x *exchange) endsInTime(c dispatch.Choice) bool {
	return x.started || x.g.drain.allows(x.maxRun(c))
}

// maxRun returns how long the request may run at the chosen target: until its deadline if it must
// not be repeated and nothing is known of its route.
func (x *exchange) maxRun(c dispatch.Choice) time.Duration {
	left, peak := clock.Until(x.deadline), x.g.runTimes.peak(x.route.Name)
	if peak == 0 && !x.route.Idempotent() {
		return left
	}
	return min(max(c.Forecast.FirstEvent, peak), left)
}

// endReason is the reason of a request whose context has ended.
func endReason(ctx context.Context) Reason {
	if errors.Is(context.Cause(ctx), errStopping) {
		return ReasonStopping
	}
	return ReasonTimeout
}

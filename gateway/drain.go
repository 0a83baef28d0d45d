package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/clock"
)

// errStopping is the cause with which requests are ended that outlive the drain.
var errStopping = errors.New("gateway: the process stops")

// drain is the end of a gateway's service. Requests that have not been answered when it ends are
// ended, so that each caller still gets an answer.
type drain struct {
	ctx    context.Context // cancelled when the drain ends
	finish context.CancelCauseFunc
}

func newDrain() drain {
	ctx, finish := context.WithCancelCause(context.Background())
	return drain{ctx: ctx, finish: finish}
}

// endAt ends the drain at the given time.
func (d drain) endAt(at time.Time) {
	clock.AfterFunc(clock.Until(at), func() { d.finish(errStopping) })
}

// bound returns a context that is also cancelled when the drain ends.
func (d drain) bound(parent context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(parent)
	stop := context.AfterFunc(d.ctx, func() { cancel(errStopping) })
	return ctx, func() {
		stop()
		cancel(nil)
	}
}

// endReason is the reason of a request whose context has ended.
func endReason(ctx context.Context) Reason {
	if errors.Is(context.Cause(ctx), errStopping) {
		return ReasonStopping
	}
	return ReasonTimeout
}

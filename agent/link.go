package agent

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// linkPacer limits the rate of weight transfer in one direction. Live traffic, the bytes of
// requests and answers, is never delayed, but counts against the rate, so that weight
// transfer yields to it.
type linkPacer struct{ limiter *rate.Limiter }

// linkBurst is the burst size of the limiter, in bytes.
const linkBurst = 256 << 10

func newLinkPacer(bytesPerSecond float64) *linkPacer {
	if bytesPerSecond <= 0 {
		return &linkPacer{rate.NewLimiter(rate.Inf, linkBurst)}
	}
	return &linkPacer{rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurst)}
}

// wait blocks until n bytes of weights may be transferred.
func (l *linkPacer) wait(ctx context.Context, n int) error {
	for n > 0 {
		part := min(n, linkBurst)
		if err := l.limiter.WaitN(ctx, part); err != nil {
			return err
		}
		n -= part
	}
	return nil
}

// recordLive counts n bytes of live traffic, without delaying them.
func (l *linkPacer) recordLive(n int) {
	now := time.Now()
	for n > 0 {
		part := min(n, linkBurst)
		l.limiter.ReserveN(now, part)
		n -= part
	}
}

package agent

import (
	"context"
	"time"

	"golang.org/x/time/rate"
)

// link paces weight transfer in one direction. Live traffic is never held
// back: its bytes are taken out of the allowance, so that weights wait.
type link struct{ limiter *rate.Limiter }

// burst is how many bytes may pass at once.
const linkBurst = 256 << 10

func newLink(bytesPerSecond float64) *link {
	if bytesPerSecond <= 0 {
		return &link{rate.NewLimiter(rate.Inf, linkBurst)}
	}
	return &link{rate.NewLimiter(rate.Limit(bytesPerSecond), linkBurst)}
}

// wait holds back n bytes of weights until they may pass.
func (l *link) wait(ctx context.Context, n int) error {
	for n > 0 {
		part := min(n, linkBurst)
		if err := l.limiter.WaitN(ctx, part); err != nil {
			return err
		}
		n -= part
	}
	return nil
}

// live notes n bytes of live traffic that pass now.
func (l *link) live(n int) {
	now := time.Now()
	for n > 0 {
		part := min(n, linkBurst)
		l.limiter.ReserveN(now, part)
		n -= part
	}
}

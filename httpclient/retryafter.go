package httpclient

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/springgate/springgate/clock"
)

// MaxRetryAfter is the longest Retry-After that is told apart.
const MaxRetryAfter = 24 * time.Hour

// RetryAfter returns the longest Retry-After of an answer (RFC 9110, 10.2.3), in seconds,
// which may have a fraction, or up to a date. ok is false if there is none that is
// readable. A date is by the server's own clock if it tells that.
func RetryAfter(h http.Header) (longest time.Duration, ok bool) {
	for _, value := range h.Values("Retry-After") {
		d, readable := delay(strings.TrimSpace(value), h.Get("Date"))
		if readable {
			longest, ok = max(longest, d), true
		}
	}
	return longest, ok
}

func delay(value, date string) (d time.Duration, ok bool) {
	if s, err := strconv.ParseFloat(value, 64); err == nil {
		if math.IsNaN(s) || s < 0 {
			return 0, false
		}
		return time.Duration(min(s, MaxRetryAfter.Seconds()) * float64(time.Second)), true
	}
	at, err := http.ParseTime(value)
	if err != nil {
		return 0, false
	}
	now, err := http.ParseTime(date)
	if err != nil {
		return min(max(clock.Until(clock.FromWallTime(at)), 0), MaxRetryAfter), true
	}
	return min(max(at.Sub(now), 0), MaxRetryAfter), true
}

package httpclient

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/springgate/springgate/clock"
)

// MaxRetryAfter is the upper bound of the durations that RetryAfter returns; longer values
// are capped.
const MaxRetryAfter = 24 * time.Hour

// RetryAfter returns the longest Retry-After of a response (RFC 9110, 10.2.3). A value is a
// number of seconds, which may have a fraction, or a date. ok is false if there is no valid
// value. A date is taken relative to the response's Date header if that is valid, and to the
// local clock otherwise.
func RetryAfter(h http.Header) (longest time.Duration, ok bool) {
	for _, value := range h.Values("Retry-After") {
		d, valid := parseRetryAfter(strings.TrimSpace(value), h.Get("Date"))
		if valid {
			longest, ok = max(longest, d), true
		}
	}
	return longest, ok
}

func parseRetryAfter(value, date string) (d time.Duration, ok bool) {
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

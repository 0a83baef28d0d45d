package httpclient

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func response(status int, retryAfter string) *http.Response {
	h := http.Header{}
	if retryAfter != "" {
		h.Set("Retry-After", retryAfter)
	}
	return &http.Response{StatusCode: status, Header: h, Body: io.NopCloser(strings.NewReader(""))}
}

// Guards against ignoring a Retry-After that has a fraction or comes with a 503.
func TestReadAllReturnsRetryAfter(t *testing.T) {
	for _, c := range []struct {
		status int
		value  string
		want   time.Duration
	}{
		{http.StatusTooManyRequests, "2", 2 * time.Second},
		{http.StatusTooManyRequests, "2.5", 2500 * time.Millisecond},
		{http.StatusTooManyRequests, "", defaultRetryAfter},
		{http.StatusTooManyRequests, "soon", defaultRetryAfter},
		{http.StatusServiceUnavailable, "0.3", 300 * time.Millisecond},
	} {
		_, err := ReadAll(response(c.status, c.value), 1)
		var throttled *ThrottledError
		assert.Assert(t, errors.As(err, &throttled), "%d %q: %v", c.status, c.value, err)
		assert.Equal(t, throttled.RetryAfter, c.want, "%d %q", c.status, c.value)
	}
	_, err := ReadAll(response(http.StatusServiceUnavailable, ""), 1)
	assert.ErrorIs(t, err, ErrStatus)
}

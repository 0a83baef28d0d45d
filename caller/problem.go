package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/springgate/springgate/outcome"
)

// ProblemType is the media type of problem documents (RFC 9457).
const ProblemType = "application/problem+json"

// problemBase is the prefix of the problem type URIs.
const problemBase = "https://springgate.example/reasons/"

// Problem is a problem document (RFC 9457). Outcome, Reason, RequestID and
// RetryAfter are extension members.
type Problem struct {
	Type       string          `json:"type"`
	Title      string          `json:"title"`
	Status     int             `json:"status"`
	Detail     string          `json:"detail,omitempty"`
	Outcome    outcome.Outcome `json:"outcome"`
	Reason     outcome.Reason  `json:"reason"`
	RequestID  string          `json:"request_id,omitempty"`
	RetryAfter int             `json:"retry_after_s,omitempty"`
}

// Refusal describes the response to a request that did not complete.
type Refusal struct {
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	RetryAfter time.Duration
	RequestID  string
	Detail     string
}

// WriteProblem responds with a problem document.
func WriteProblem(w http.ResponseWriter, r Refusal) {
	info := outcome.Lookup(r.Reason)
	if !retryable(info.Status) {
		r.RetryAfter = 0
	}
	p := Problem{Type: problemBase + string(r.Reason), Title: info.Text, Status: info.Status, Detail: r.Detail,
		Outcome: r.Outcome, Reason: r.Reason, RequestID: r.RequestID, RetryAfter: ceilSeconds(r.RetryAfter)}
	h := w.Header()
	h.Set("Content-Type", ProblemType)
	h.Set(HeaderOutcome, string(r.Outcome))
	h.Set(HeaderReason, string(r.Reason))
	if p.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(p.RetryAfter))
	}
	w.WriteHeader(info.Status)
	_ = json.NewEncoder(w).Encode(p) // the caller may have disconnected
}

// retryable reports whether the same request may succeed later, so that a
// Retry-After field makes sense.
func retryable(status int) bool {
	switch status {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusBadGateway,
		http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return false
}

func ceilSeconds(d time.Duration) int { return int(math.Ceil(d.Seconds())) }

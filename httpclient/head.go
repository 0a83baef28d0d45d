package httpclient

import (
	"net/http"

	"github.com/pkg/errors"
)

// ErrInvalidHead is returned for a response whose head is not valid although net/http accepts it.
var ErrInvalidHead = errors.New("httpclient: invalid head of a response")

// CheckHead returns ErrInvalidHead if the head of a response has a status beyond 100 to 599 (RFC 9110, section 15), or
// 101, which no client here asks for.
func CheckHead(r *http.Response) error {
	if r.StatusCode < 100 || r.StatusCode > 599 || r.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrInvalidHead, "status %d", r.StatusCode)
	}
	return nil
}

// checkedTransport is a transport that returns an error for a response with an invalid head.
type checkedTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(resp); err != nil {
		resp.Body.Close()
		return nil, err
	}
	return resp, nil
}

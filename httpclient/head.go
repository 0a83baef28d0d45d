package httpclient

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalidHead is returned for a response whose head is not valid although net/http accepts it.
var ErrInvalidHead = errors.New("httpclient: invalid head of a response")

// CheckHead returns ErrInvalidHead if the head of a response has
//   - a status beyond 100 to 599 (RFC 9110, section 15), or 101, which no client here asks for;
//   - a name of a field that is no token (section 5.1): net/http ignores that field, also if it frames the body.
func CheckHead(r *http.Response) error {
	if r.StatusCode < 100 || r.StatusCode > 599 || r.StatusCode == http.StatusSwitchingProtocols {
		return errors.Wrapf(ErrInvalidHead, "status %d", r.StatusCode)
	}
	for name := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(ErrInvalidHead, "field name %.40q", name)
		}
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

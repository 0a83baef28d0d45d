package httpclient

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// ErrInvalidHead is returned for a response whose head is not valid although net/http accepts it.
var ErrInvalidHead = errors.New("httpclient: invalid head of a response")

// ValidStatus reports whether a final response may have the status (RFC 9110, section 15). 101 is none here: no client
// asks for another protocol.
func ValidStatus(status int) bool { return status >= 200 && status <= 599 }

// CheckHead returns ErrInvalidHead if the head of a final response has another major version than the request (RFC 9112,
// section 2.3), an invalid status, or a name of a field that is no token (RFC 9110, section 5.1): net/http ignores that
// field, also if it frames the body.
func CheckHead(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return errors.Wrapf(ErrInvalidHead, "version %d.%d", r.ProtoMajor, r.ProtoMinor)
	}
	if !ValidStatus(r.StatusCode) {
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

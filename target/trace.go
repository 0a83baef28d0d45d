package target

import (
	"context"
	"io"
	"net/http/httptrace"
	"strings"
)

// withConnTrace returns a context that makes the transport call onConn when the
// transport has a connection for the request. Until then, no byte of the request has been
// sent to the target.
func withConnTrace(ctx context.Context, onConn func()) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { onConn() },
	})
}

// onceBody is a body that cannot be rewound. The transport of net/http retries a
// request on a new connection only if the body is absent or can be rewound.
type onceBody struct{ r io.Reader }

func (b *onceBody) Read(p []byte) (int, error) { return b.r.Read(p) }

// noRetry wraps a body, or an empty one for nil, so that the request is sent at
// most once.
func noRetry(r io.Reader) io.Reader {
	if r == nil {
		r = strings.NewReader("")
	}
	return &onceBody{r}
}

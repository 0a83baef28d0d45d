package target

import (
	"context"
	"io"
	"net/http/httptrace"
	"strings"
)

// withConnTrace calls got once a connection for the request exists. Before
// that, no byte of the request can have reached the target.
func withConnTrace(ctx context.Context, got func()) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { got() },
	})
}

// onceBody is a body that cannot be rewound. net/http resends a request on a
// fresh connection only if the body is absent or can be rewound.
type onceBody struct{ r io.Reader }

func (b *onceBody) Read(p []byte) (int, error) { return b.r.Read(p) }

// noReplay wraps a body, or stands for an empty one, so that the request is
// sent at most once.
func noReplay(r io.Reader) io.Reader {
	if r == nil {
		r = strings.NewReader("")
	}
	return &onceBody{r}
}

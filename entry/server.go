package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/membership"
	"github.com/springgate/springgate/operator"
	"github.com/springgate/springgate/peer"
	"github.com/zeromicro/go-zero/rest"
)

// Timeouts and limits of the HTTP server. Responses have no timeout, because a streamed
// response may take arbitrarily long.
const (
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	// maxHeaderBytes bounds the head of a request, which takes up to 16 times its bytes when parsed.
	maxHeaderBytes = 64 << 10
)

// newServer returns the HTTP server. Routing uses go-zero's rest package with
// its timeout, body limit, load shedding, circuit breaker and connection limit
// disabled, because requests that these reject would be missing from the entry's
// metrics. The entry provides its own listener, because rest closes its
// listener as soon as SIGTERM arrives.
func (e *Entry) newServer() (*http.Server, error) {
	server, err := rest.NewServer(rest.RestConf{}, rest.WithRouter(e.newRouter()))
	if err != nil {
		return nil, errors.Wrap(err, "entry: http server")
	}
	server.AddRoutes(operator.Routes(e.Ready, e.metrics))
	server.AddRoute(rest.Route{Method: http.MethodGet, Path: operator.PathStatus, Handler: e.serveStatus})
	handler, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Wrap(err, "entry: http server")
	}
	return &http.Server{Handler: http.HandlerFunc(handler.Serve), ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}, nil
}

// serveStatus responds with the state of all known hosts.
func (e *Entry) serveStatus(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := clock.WithTimeout(r.Context(), operator.CollectTimeout)
	defer cancel()
	s := e.node.Snapshot()
	var addrs []string
	for _, m := range s.Members {
		if m.Host != e.cfg.Control.Host && m.State != membership.Gone {
			addrs = append(addrs, m.Addr)
		}
	}
	hosts := operator.Collect(ctx, addrs, func(ctx context.Context, addr string) (*peer.NodeStatus, error) {
		m, err := e.pool.Call(ctx, addr, peer.Control, &peer.GetNodeStatus{})
		st, _ := m.(*peer.NodeStatus)
		return st, err
	})
	operator.WriteStatus(w, operator.NewStatus(e.node.Status(), hosts, s))
}

// router passes requests for the operator endpoints to their handlers and all
// others, with any method, to the services.
type router struct {
	routes   map[string]http.Handler
	fallback http.HandlerFunc
}

func (e *Entry) newRouter() *router {
	return &router{routes: map[string]http.Handler{}, fallback: e.serveCall}
}

// Handle implements httpx.Router.
func (r *router) Handle(method, path string, h http.Handler) error {
	r.routes[method+" "+path] = h
	return nil
}

// SetNotFoundHandler implements httpx.Router. It does nothing, because all
// other paths belong to services.
func (r *router) SetNotFoundHandler(http.Handler) {}

// SetNotAllowedHandler implements httpx.Router. It does nothing, because all
// methods are forwarded.
func (r *router) SetNotAllowedHandler(http.Handler) {}

// ServeHTTP implements http.Handler.
func (r *router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if h := r.routes[req.Method+" "+req.URL.Path]; h != nil {
		h.ServeHTTP(w, req)
		return
	}
	r.fallback(w, req)
}

package operator

import (
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	metrics "github.com/rcrowley/go-metrics"
	"github.com/springgate/springgate/telemetry"
	"github.com/zeromicro/go-zero/rest"
)

// Paths of the interface for load balancers and operators.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathStatus  = "/status"
)

// Limits of the HTTP server.
const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
)

// Routes returns the routes for health, readiness and metrics.
func Routes(ready func() bool, reg metrics.Registry) []rest.Route {
	return []rest.Route{
		{Method: http.MethodGet, Path: PathHealth, Handler: func(w http.ResponseWriter, _ *http.Request) { writeCheckResult(w, true) }},
		{Method: http.MethodGet, Path: PathReady, Handler: func(w http.ResponseWriter, _ *http.Request) { writeCheckResult(w, ready()) }},
		{Method: http.MethodGet, Path: PathMetrics, Handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/plain; version=0.0.4")
			telemetry.WriteText(w, reg)
		}},
	}
}

func writeCheckResult(w http.ResponseWriter, ok bool) {
	if !ok {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// ServeAdmin serves Routes on addr. The returned function stops the server.
func ServeAdmin(addr string, ready func() bool, reg metrics.Registry) (stop func(), err error) {
	s, err := newAdminServer(ready, reg)
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "operator: listen")
	}
	go func() { _ = s.Serve(ln) }()
	return func() { s.Close() }, nil
}

func newAdminServer(ready func() bool, reg metrics.Registry) (*http.Server, error) {
	server, err := rest.NewServer(rest.RestConf{})
	if err != nil {
		return nil, errors.Wrap(err, "operator: http server")
	}
	server.AddRoutes(Routes(ready, reg))
	handler, err := rest.NewServerless(server)
	if err != nil {
		return nil, errors.Wrap(err, "operator: http server")
	}
	return &http.Server{Handler: http.HandlerFunc(handler.Serve), ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}, nil
}

// Package standin implements small fakes of the systems that springgate depends on: the
// configuration service, the host list, the weight store and origin, model engines and plain
// services. Each implements the published HTTP interface and has faults that can be switched on.
// They are used in demonstrations and tests.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const readHeaderTimeout = 10 * time.Second

// server is an HTTP server with its listener.
type server struct {
	ln   net.Listener
	http *http.Server
}

func serve(addr string, h http.Handler) (*server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrap(err, "standin: listen")
	}
	s := &server{ln: ln, http: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}}
	go func() { _ = s.http.Serve(ln) }()
	return s, nil
}

// URL returns the base URL.
func (s *server) URL() string { return "http://" + s.ln.Addr().String() }

// Close stops the server and closes its connections.
func (s *server) Close() { s.http.Close() }

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

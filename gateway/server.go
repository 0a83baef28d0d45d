package gateway

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/httpclient"
	"github.com/springgate/springgate/loop"
)

// ServerConfig holds the addresses and timeouts of a Server.
type ServerConfig struct {
	CallerAddr string
	ReadyAddr  string
	// DrainTimeout is the time from the start of the drain until the process is killed.
	// Default 8 s.
	DrainTimeout time.Duration
	// DrainMargin is how long before the end of DrainTimeout requests are ended that are not
	// answered: the time in which their callers get an answer. Default 400 ms.
	DrainMargin time.Duration
	// AcceptFor is how long requests are still accepted after the drain has started. The
	// load balancer sends new connections until it has made two readiness checks, 1 s
	// apart. A request accepted later than AcceptFor may not finish in time, since streams
	// last up to 5 s. Default 2.8 s.
	AcceptFor time.Duration
}

func (c ServerConfig) applyDefaults() ServerConfig {
	c.DrainTimeout = cmp.Or(c.DrainTimeout, 8*time.Second)
	c.DrainMargin = cmp.Or(c.DrainMargin, 400*time.Millisecond)
	c.AcceptFor = cmp.Or(c.AcceptFor, 2800*time.Millisecond)
	return c
}

// Timeouts and limits of callers' connections. They are wider than the limits that the
// configuration sets for callers, so that a race cannot cut off a caller that observes the
// configured limits.
const (
	headerTimeout  = 15 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// Server listens for callers and for the load balancer's readiness checks. It uses
// net/http directly: the routes of go-zero's rest server are fixed at startup, and its
// handlers buffer and time out responses on their own.
type Server struct {
	cfg     ServerConfig
	gateway *Gateway
	log     logrus.FieldLogger
	servers []*http.Server
	addrs   []net.Addr // that the servers listen on
}

// callerAddr returns the address on which the server listens for callers.
func (s *Server) callerAddr() string { return s.addrs[0].String() }

// NewServer returns a server that is not listening yet.
func NewServer(cfg ServerConfig, g *Gateway, log logrus.FieldLogger) *Server {
	return &Server{cfg: cfg.applyDefaults(), gateway: g, log: log}
}

// Start starts the listeners.
func (s *Server) Start(ctx context.Context) error {
	err := s.listen(ctx, s.cfg.CallerAddr, s.gateway)
	if err != nil {
		return err
	}
	return s.listen(ctx, s.cfg.ReadyAddr, http.HandlerFunc(s.serveReady))
}

func (s *Server) listen(ctx context.Context, addr string, h http.Handler) error {
	// A caller may stand still for as long as its request lasts; each request bounds its own writes.
	lc := httpclient.ListenConfig(idleTimeout)
	ln, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return errors.Wrap(err, "gateway: listen")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: nil}
	s.servers, s.addrs = append(s.servers, server), append(s.addrs, ln.Addr())
	go s.serve(server, s.observed(ln))
	return nil
}

// observed returns a listener whose connections are observed for answers that no handler gives.
func (s *Server) observed(ln net.Listener) net.Listener {
	return rejectionListener{ln, newRejectionMonitor(s.gateway.stats.registry, s.log)}
}

func (s *Server) serve(server *http.Server, ln net.Listener) {
	if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		s.log.WithError(err).Error("Listener failed.")
	}
}

// serveReady answers readiness checks of the load balancer.
func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !s.gateway.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// exitMargin is how long before the end of DrainTimeout the last connections are closed.
const exitMargin = 50 * time.Millisecond

// Drain continues to serve until all requests have ended or the drain times out. Requests that
// take longer are ended while there is still time to answer their callers.
func (s *Server) Drain() {
	start := clock.Now()
	s.gateway.Drain(start.Add(s.cfg.DrainTimeout - s.cfg.DrainMargin))
	s.log.WithField("inflight", s.gateway.Inflight()).Info("Draining.")
	ctx, cancel := clock.WithTimeout(context.Background(), s.cfg.DrainTimeout-exitMargin)
	defer cancel()
	loop.Sleep(ctx, s.cfg.AcceptFor)
	// No new requests are accepted from here on, so that each accepted request can be
	// answered before the process is killed.
	for _, server := range s.servers {
		if err := server.Shutdown(ctx); err != nil {
			s.log.WithError(err).WithField("inflight", s.gateway.Inflight()).Warn("Drain incomplete; remaining requests are cut off.")
		}
	}
	s.log.WithFields(logrus.Fields{"inflight": s.gateway.Inflight(), "ms": clock.Since(start).Milliseconds()}).Info("Drained.")
}

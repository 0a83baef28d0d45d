// Package entry implements the process of `springgate serve`, the mode in which requests
// reach targets through agents. It accepts requests from callers, selects a target host
// for each one and forwards it to the agent of that host. Package gateway implements the
// entry of the other mode, `springgate gateway`.
package entry

import (
	"cmp"
	"time"

	"github.com/springgate/springgate/control"
	"github.com/springgate/springgate/routing"
)

// Config holds the settings of an Entry.
type Config struct {
	Control control.Config
	// Listen is the address on which requests from callers are accepted.
	Listen string
	// Subset is the number of targets per service to whose agents the entry
	// keeps connections. A larger subset balances the load more evenly but
	// costs more connections and status messages. Default 64.
	Subset int
	// ShutdownDelay is how long an entry that shuts down keeps accepting
	// requests after /readyz has started to fail, so that the load balancer
	// can take it out of rotation first. Default 5 s.
	ShutdownDelay time.Duration
	// DrainTimeout bounds the wait for requests in flight that follows
	// ShutdownDelay.
	// Default 10 min.
	DrainTimeout time.Duration
	// MaxBody is the maximum size of a request body in bytes. Default 64 MiB.
	MaxBody int64
	// MaxInflight is the maximum number of requests in flight at this entry,
	// which also bounds its memory use. Default 20,000.
	MaxInflight int

	Routing routing.Config
	Budget  routing.BudgetConfig
}

func (c Config) applyDefaults() Config {
	c.Subset = cmp.Or(c.Subset, 64)
	c.ShutdownDelay = cmp.Or(c.ShutdownDelay, 5*time.Second)
	c.DrainTimeout = cmp.Or(c.DrainTimeout, 10*time.Minute)
	c.MaxBody = cmp.Or(c.MaxBody, 64<<20)
	c.MaxInflight = cmp.Or(c.MaxInflight, 20000)
	c.Routing = c.Routing.ApplyDefaults()
	return c
}

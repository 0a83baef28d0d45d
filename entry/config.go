// Package entry is the process of `springgate serve`, the mode in which requests go through
// agents: it takes callers' requests, chooses a target host for each and speaks to that
// host's agent. Package gateway is the entry of the other mode.
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
	// Listen is the address for callers.
	Listen string
	// Subset is how many targets of a service the entry keeps connections
	// to. More evens out the load and costs connections and status messages.
	// Default 64.
	Subset int
	// Notice is how long a leaving entry goes on serving after /readyz has
	// begun to fail, so that the balancer notices. Default 5 s.
	Notice time.Duration
	// DrainTimeout bounds how long a leaving entry then waits for requests in
	// flight. Default 10 min.
	DrainTimeout time.Duration
	// MaxBody bounds a request body in bytes. Default 64 MiB.
	MaxBody int64
	// MaxInflight bounds the requests in flight at this entry, and so its
	// memory. Default 20,000.
	MaxInflight int

	Routing routing.Config
	Budget  routing.BudgetConfig
}

func (c Config) applyDefaults() Config {
	c.Subset = cmp.Or(c.Subset, 64)
	c.Notice = cmp.Or(c.Notice, 5*time.Second)
	c.DrainTimeout = cmp.Or(c.DrainTimeout, 10*time.Minute)
	c.MaxBody = cmp.Or(c.MaxBody, 64<<20)
	c.MaxInflight = cmp.Or(c.MaxInflight, 20000)
	c.Routing = c.Routing.ApplyDefaults()
	return c
}

// Package agent implements the process that runs next to a target in `springgate serve` mode,
// in which all requests to the target pass through it. (Package sidecar implements the agent of
// `springgate gateway` mode.) The agent runs requests, sends load orders to the engine, stores
// and exchanges weight chunks, and drains the target.
//
// An engine is a target that loads model weights, and its loadout is the model, adapters and
// role that it has or should have. A load order is the command to load a loadout. Before it
// sends one, the agent stages the weights, that is, sends their chunks to the engine, and
// acquires a permit to take the engine out of service. Each version of a model or adapter is
// described by a manifest, the list of its chunks. To fence an attempt or an idempotency key
// is to find out whether it has run and, if not, to bar it from running.
package agent

import (
	"cmp"
	"time"

	"github.com/springgate/springgate/clock"
	"github.com/springgate/springgate/control"
	"github.com/springgate/springgate/idempotency"
	"github.com/springgate/springgate/rollout"
	"github.com/springgate/springgate/spread"
)

// Config holds the settings of an Agent.
type Config struct {
	Control control.Config
	// TargetURL is the base URL of the target on this host.
	TargetURL string

	// StatusInterval is the maximum time between two status messages to an
	// entry. It must be well below the status age at which entries stop
	// selecting the host. Default 800 ms.
	StatusInterval time.Duration
	// DrainTimeout bounds the wait of a leaving agent for running requests.
	// Default 10 min.
	DrainTimeout time.Duration
	// ResumeGrace is how long a running request continues while no entry has a
	// stream open to receive its answer. Default 15 s.
	ResumeGrace time.Duration
	// AnswerMemory bounds the memory for answers of finished requests, in bytes.
	// Default 32 MiB.
	AnswerMemory int64

	// LoadTimeout is how long an engine may take to report the ordered versions
	// as loaded before the load order is repeated. Default 5 min.
	LoadTimeout time.Duration

	// WeightMemory bounds the memory for weight chunks, in bytes. Default 1 GiB.
	WeightMemory int64
	// LinkRate limits weight transfer in each direction, in bytes per second.
	// Zero means no limit.
	LinkRate float64
	// HaveInterval is the minimum time between two messages to a neighbour, a
	// host that exchanges chunks with this one, about chunks newly stored here.
	// Default 200 ms.
	HaveInterval time.Duration

	Idempotency idempotency.Config
	Spread      spread.Config
	Rollout     rollout.Config
}

func (c Config) applyDefaults() Config {
	c.StatusInterval = cmp.Or(c.StatusInterval, 800*time.Millisecond)
	c.DrainTimeout = cmp.Or(c.DrainTimeout, 10*time.Minute)
	c.ResumeGrace = cmp.Or(c.ResumeGrace, 15*time.Second)
	c.LoadTimeout = cmp.Or(c.LoadTimeout, 5*time.Minute)
	c.AnswerMemory = cmp.Or(c.AnswerMemory, 32<<20)
	c.WeightMemory = cmp.Or(c.WeightMemory, 1<<30)
	c.HaveInterval = cmp.Or(c.HaveInterval, 200*time.Millisecond)
	c.Idempotency.FromWallTime = clock.FromWallTime
	c.Idempotency = c.Idempotency.ApplyDefaults()
	c.Control.HistoryRetention = c.Idempotency.History()
	return c
}

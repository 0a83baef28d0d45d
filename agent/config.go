// Package agent is the process beside a target in the mode of `springgate serve`, in which it
// is the only door to the target (package sidecar is the agent of the other mode): it runs requests, gives orders to the engine, holds and exchanges
// weight chunks, and drains.
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

	// StatusEvery is the longest time between two status messages to an
	// entry. It must be well below the age at which entries stop choosing the
	// host. Default 800 ms.
	StatusEvery time.Duration
	// DrainTimeout bounds how long a leaving agent waits for requests that
	// run. Default 10 min.
	DrainTimeout time.Duration
	// ResumeGrace is how long a running request goes on without its entry.
	// Default 15 s.
	ResumeGrace time.Duration
	// AnswerMemory bounds the held answers of finished requests, in bytes.
	// Default 32 MiB.
	AnswerMemory int64

	// LoadTimeout is how long an engine may take to report what it was told to
	// load before it is told again. Default 5 min.
	LoadTimeout time.Duration

	// WeightMemory bounds the weight chunks held, in bytes. Default 1 GiB.
	WeightMemory int64
	// LinkRate paces weight transfer in each direction, in bytes a second.
	// Zero means no pacing.
	LinkRate float64
	// HaveEvery is the time between two messages about chunks gained.
	// Default 200 ms.
	HaveEvery time.Duration

	Idempotency idempotency.Config
	Spread      spread.Config
	Rollout     rollout.Config
}

func (c Config) applyDefaults() Config {
	c.StatusEvery = cmp.Or(c.StatusEvery, 800*time.Millisecond)
	c.DrainTimeout = cmp.Or(c.DrainTimeout, 10*time.Minute)
	c.ResumeGrace = cmp.Or(c.ResumeGrace, 15*time.Second)
	c.LoadTimeout = cmp.Or(c.LoadTimeout, 5*time.Minute)
	c.AnswerMemory = cmp.Or(c.AnswerMemory, 32<<20)
	c.WeightMemory = cmp.Or(c.WeightMemory, 1<<30)
	c.HaveEvery = cmp.Or(c.HaveEvery, 200*time.Millisecond)
	c.Idempotency.AtDate = clock.AtDate
	c.Idempotency = c.Idempotency.ApplyDefaults()
	c.Control.HistoryRetention = c.Idempotency.History()
	return c
}

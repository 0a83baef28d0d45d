package command

import (
	"context"
	"time"

	"github.com/springgate/springgate/agent"
	"github.com/springgate/springgate/operator"
	"github.com/springgate/springgate/settings"
	"github.com/urfave/cli/v3"
)

// NewAgent returns the command line of springgate-agent.
func NewAgent() *cli.Command {
	return &cli.Command{
		Name:                  "springgate-agent",
		Usage:                 "agent that runs next to one target: runs requests, stores weights, sends load orders",
		EnableShellCompletion: true,
		Suggest:               true,
		Action:                unknownCommand,
		Commands:              []*cli.Command{agentServeCommand(), sidecarCommand(), versionCommand()},
	}
}

func agentServeCommand() *cli.Command {
	var o commonOptions
	var cfg agent.Config
	var linkRate, answerMemory int64
	var admin string
	set := &settings.Set{}
	o.add(set)
	set.URL(&cfg.TargetURL, "target-url", "base URL of the target on this host", "")
	set.Address(&admin, "admin-listen", "address of /healthz, /readyz and /metrics", "", false)
	set.Duration(&cfg.DrainTimeout, "drain-timeout", "maximum wait for running requests", 10*time.Minute, time.Second, maxWindow)
	set.Duration(&cfg.ResumeGrace, "resume-grace", "how long a running request continues while no entry is attached to it", 15*time.Second, time.Second, time.Hour)
	set.Bytes(&answerMemory, "answer-memory", "memory for answers of finished requests", "32MiB", 0, 1<<40)
	set.Bytes(&cfg.WeightMemory, "weight-memory", "memory for weight chunks", "1GiB", 1<<20, 1<<50)
	set.Bytes(&linkRate, "link-rate", "limit on weight transfer in each direction, in bytes per second; 0 means no limit", "0", 0, 1<<40)
	return &cli.Command{Name: "serve", Usage: "run the agent of one target", Flags: set.Flags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := set.Load(c); err != nil {
				return err
			}
			log, err := o.logger()
			if err != nil {
				return err
			}
			cfg.Control, cfg.AnswerMemory, cfg.LinkRate = o.control, answerMemory, float64(linkRate)
			cfg.Idempotency.KeyWindow = o.keyWindow
			return runUntilSignal(ctx, func() (process, error) {
				cs, hl := o.clients()
				a, err := agent.New(cfg, cs, hl, log)
				if err != nil || admin == "" {
					return a, err
				}
				stop, err := operator.ServeAdmin(admin, a.Ready, a.Metrics())
				return administeredAgent{a, stop}, err
			})
		}}
}

// administeredAgent is an agent with a server for health checks and metrics.
type administeredAgent struct {
	*agent.Agent
	stopAdmin func()
}

// Run implements process.
func (a administeredAgent) Run(ctx context.Context) {
	defer a.stopAdmin()
	a.Agent.Run(ctx)
}

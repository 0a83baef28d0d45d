package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/hostlist"
	"github.com/springgate/springgate/settings"
	"github.com/springgate/springgate/spread"
	"github.com/springgate/springgate/standin"
	"github.com/urfave/cli/v3"
)

// republishInterval is the time between two checks of the files for changes.
const republishInterval = 500 * time.Millisecond

// standinCommand returns the command that runs stand-ins for the platform and the targets in
// a separate process, to try the real programs without a platform.
func standinCommand() *cli.Command {
	var o standinOptions
	set := &settings.Set{}
	set.Text(&o.fleet, "fleet", "fleet file to publish; published again when it changes", "", true)
	set.Text(&o.hosts, "hosts-file", "JSON list of hosts; published again when it changes", "", true)
	set.Address(&o.platform, "platform-listen", "address of the configuration service and host list", "127.0.0.1:9000", true)
	set.Address(&o.origin, "origin-listen", "address of the origin", "127.0.0.1:9001", true)
	set.Int(&o.firstPort, "target-port", "first port of the targets", 9100, 1, 65000)
	set.Int(&o.engines, "engines", "number of fake engines, on ports from target-port", 2, 0, 200)
	set.Int(&o.plains, "plains", "number of fake plain services, on the ports that follow", 1, 0, 200)
	set.Bytes(&o.size, "size", "size of each of the two versions v1 and v2 at the origin", "16MiB", 1<<16, 1<<30)
	return &cli.Command{Name: "standin", Usage: "run stand-ins for the platform and targets, to try the real programs without a platform", Flags: set.Flags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := set.Load(c); err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
			defer stop()
			return o.run(ctx, c)
		}}
}

type standinOptions struct {
	fleet, hosts, platform, origin string
	firstPort, engines, plains     int
	size                           int64
}

// standinChunks is the maximum number of chunks per version.
const standinChunks = 64

func (o *standinOptions) run(ctx context.Context, c *cli.Command) error {
	out := c.Root().Writer
	origin, err := standin.NewSource(o.origin, 0)
	if err != nil {
		return err
	}
	defer origin.Close()
	known := map[digest.Digest]*spread.Manifest{}
	for i, name := range []string{"v1", "v2"} {
		id, m, err := origin.Add(name, int(o.size/standinChunks)+1, standin.Content(int(o.size), uint64(i+1)))
		if err != nil {
			return err
		}
		known[id] = m
		fmt.Fprintf(out, "version %s: manifest %s\n", name, id)
	}
	if err := o.startTargets(known); err != nil {
		return err
	}
	platform, err := standin.NewPlatform(o.platform)
	if err != nil {
		return err
	}
	defer platform.Close()
	fmt.Fprintf(out, "platform %s, origin %s, targets from port %d\n", platform.URL(), origin.URL(), o.firstPort)
	return o.publish(ctx, platform)
}

func (o *standinOptions) startTargets(known map[digest.Digest]*spread.Manifest) error {
	runs := standin.NewRuns()
	cfg := standin.EngineConfig{FirstToken: 50 * time.Millisecond, NextToken: 20 * time.Millisecond, Tokens: 20,
		Slots: 8, LoadTime: 300 * time.Millisecond, Fenced: true}
	for i := range o.engines + o.plains {
		addr := fmt.Sprintf("127.0.0.1:%d", o.firstPort+i)
		var err error
		if i < o.engines {
			_, err = standin.NewEngine(addr, cfg, runs, func(d digest.Digest) *spread.Manifest { return known[d] })
		} else {
			_, err = standin.NewPlain(addr, standin.PlainConfig{Latency: time.Millisecond}, runs)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// publish publishes the fleet file and the host list, and each of them again when it has
// changed.
func (o *standinOptions) publish(ctx context.Context, p *standin.Platform) error {
	var lastFleet, lastHosts string
	t := time.NewTicker(republishInterval)
	defer t.Stop()
	for {
		fleet, err := os.ReadFile(o.fleet)
		if err != nil {
			return errors.Wrap(err, "standin")
		}
		raw, err := os.ReadFile(o.hosts)
		if err != nil {
			return errors.Wrap(err, "standin")
		}
		if string(raw) != lastHosts {
			var hosts []hostlist.Host
			if err := json.Unmarshal(raw, &hosts); err != nil {
				return errors.Wrapf(err, "standin: %s", o.hosts)
			}
			p.SetHosts(hosts)
			lastHosts = string(raw)
		}
		if string(fleet) != lastFleet {
			p.Publish(fleet)
			lastFleet = string(fleet)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
	}
}

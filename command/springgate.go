// Package command implements the command lines of springgate and springgate-agent. An entry
// forwards callers' requests to targets (engines and plain services); an agent runs beside a
// target on its host.
package command

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/configservice"
	"github.com/springgate/springgate/control"
	"github.com/springgate/springgate/demo"
	"github.com/springgate/springgate/entry"
	"github.com/springgate/springgate/hostlist"
	"github.com/springgate/springgate/httpclient"
	"github.com/springgate/springgate/idempotency"
	"github.com/springgate/springgate/intent"
	"github.com/springgate/springgate/operator"
	"github.com/springgate/springgate/settings"
	"github.com/springgate/springgate/telemetry"
	"github.com/urfave/cli/v3"
	"golang.org/x/term"
)

// Version is the release of both programs.
const Version = "0.1.0"

// Exit statuses.
const (
	exitFailure = 1
	exitUsage   = 2
)

// NewSpringgate returns the command line of springgate.
func NewSpringgate() *cli.Command {
	return &cli.Command{
		Name:                  "springgate",
		Usage:                 "distribute model weights to many hosts and route live requests to the same hosts",
		Description:           "Settings are flags or environment variables; 'serve --help' lists both.",
		EnableShellCompletion: true,
		Suggest:               true,
		Action:                unknownCommand,
		Commands: []*cli.Command{serveCommand(), checkCommand(), packCommand(), statusCommand(),
			demoCommand(), standinCommand(), gatewayCommand(), explainCommand(), versionCommand()},
	}
}

func versionCommand() *cli.Command {
	return &cli.Command{Name: "version", Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintf(c.Root().Writer, "%s %s (fleet file format %d)\n", c.Root().Name, Version, intent.Format)
			return err
		}}
}

// commonOptions holds the settings that the serve commands of both programs share.
type commonOptions struct {
	control              control.Config
	configURL, hostsURL  string
	logLevel, logFormat  string
	heartbeat, keyWindow time.Duration
}

// Bounds of the shared settings.
const (
	maxFleet     = 100000
	minHeartbeat = 50 * time.Millisecond
	maxHeartbeat = 10 * time.Second
	maxWindow    = 24 * time.Hour
)

func (o *commonOptions) add(s *settings.Set) {
	s.Text(&o.control.Host, "host", "name of this host in the host list", "", true)
	s.Text(&o.control.Domain, "failure-domain", "failure domain of this host", "", true)
	s.Address(&o.control.Addr, "peer-listen", "listen address for the other processes of the system", "127.0.0.1:7101", true)
	s.URL(&o.configURL, "config-url", "base URL of the configuration service", "")
	s.URL(&o.hostsURL, "hosts-url", "base URL of the host list", "")
	s.Duration(&o.heartbeat, "heartbeat", "time between two rounds of heartbeats", 500*time.Millisecond, minHeartbeat, maxHeartbeat)
	s.Int(&o.control.FleetSize, "fleet-size", "number of processes that may start at the same time; their first reads are spread out accordingly", 50, 1, maxFleet)
	s.Duration(&o.keyWindow, "key-window", "how long an idempotency key is remembered", 10*time.Minute, time.Second, maxWindow)
	s.Choice(&o.logLevel, "log-level", "minimum severity of log records", "info", "debug", "info", "warning", "error")
	s.Choice(&o.logFormat, "log-format", "log format", telemetry.FormatText, telemetry.FormatText, telemetry.FormatJSON)
}

func (o *commonOptions) logger() (*logrus.Logger, error) {
	o.control.HeartbeatInterval = o.heartbeat
	o.control.HistoryRetention = idempotency.Config{KeyWindow: o.keyWindow}.History()
	l, err := telemetry.NewLogger(os.Stderr, o.logLevel, o.logFormat)
	if err != nil {
		return nil, err
	}
	return l, telemetry.ConfigureGoZero(l)
}

func (o *commonOptions) clients() (*configservice.Client, *hostlist.Client) {
	return configservice.New(o.configURL), hostlist.New(o.hostsURL)
}

// process is an entry or an agent.
type process interface {
	Run(ctx context.Context)
	Drain(ctx context.Context)
}

// runUntilSignal runs the process that start returns. The first SIGTERM or SIGINT, also during the
// start, drains it; a second one stops it at once.
func runUntilSignal(ctx context.Context, start func() (process, error)) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	p, err := start()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		<-signals
		drainCtx, stop := context.WithCancel(ctx)
		go func() {
			<-signals
			stop()
		}()
		p.Drain(drainCtx)
		cancel()
	}()
	p.Run(ctx)
	return nil
}

func serveCommand() *cli.Command {
	var o commonOptions
	var cfg entry.Config
	var maxBody int64
	set := &settings.Set{}
	o.add(set)
	set.Address(&cfg.Listen, "listen", "listen address for callers", "127.0.0.1:8080", true)
	set.Int(&cfg.Subset, "subset", "number of targets per service that this entry keeps connections to", 64, 2, maxFleet)
	set.Duration(&cfg.ShutdownDelay, "notice", "how long to keep accepting requests after /readyz has started to fail", 5*time.Second, 0, time.Hour)
	set.Duration(&cfg.DrainTimeout, "drain-timeout", "maximum wait for requests in flight", 10*time.Minute, time.Second, maxWindow)
	set.Bytes(&maxBody, "max-body", "maximum size of a request body", "64MiB", 1, 1<<40)
	set.Int(&cfg.MaxInflight, "max-inflight", "maximum number of requests in flight", 20000, 1, 10000000)
	return &cli.Command{Name: "serve", Usage: "run an entry, which accepts requests from callers", Flags: set.Flags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := set.Load(c); err != nil {
				return err
			}
			log, err := o.logger()
			if err != nil {
				return err
			}
			cfg.Control, cfg.MaxBody = o.control, maxBody
			return runUntilSignal(ctx, func() (process, error) {
				cs, hl := o.clients()
				return entry.New(cfg, cs, hl, log)
			})
		}}
}

// readFleet reads and parses a fleet file.
func readFleet(name string) ([]byte, *intent.Fleet, error) {
	b, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, errors.Wrap(err, "cannot read the fleet file")
	}
	f, err := intent.Parse(name, b)
	return b, f, err
}

func checkCommand() *cli.Command {
	return &cli.Command{Name: "check", Usage: "check a fleet file, or show what a new one would change",
		ArgsUsage: "FILE | OLD NEW",
		Action: func(_ context.Context, c *cli.Command) error {
			if n := c.Args().Len(); n < 1 || n > 2 {
				return cli.Exit("check: expected one fleet file, or an old and a new one", exitUsage)
			}
			_, f, err := readFleet(c.Args().Get(0))
			if err != nil {
				return err
			}
			out := c.Root().Writer
			if c.Args().Len() == 2 {
				_, next, err := readFleet(c.Args().Get(1))
				if err != nil {
					return err
				}
				return printChanges(out, intent.Diff(f, next))
			}
			hosts := 0
			for i := range f.Services {
				hosts += len(f.Services[i].Hosts)
			}
			_, err = fmt.Fprintf(out, "ok: fleet %s, format %d, %d services, %d hosts, %d teams\n",
				f.Name, f.Format, len(f.Services), hosts, len(f.Teams))
			return err
		}}
}

func printChanges(out io.Writer, changes []intent.Change) error {
	if len(changes) == 0 {
		_, err := fmt.Fprintln(out, "no change")
		return err
	}
	for _, x := range changes {
		if _, err := fmt.Fprintln(out, x); err != nil {
			return err
		}
	}
	return nil
}

func packCommand() *cli.Command {
	var revision int
	var dir string
	set := &settings.Set{}
	set.Int(&revision, "revision", "revision number; must be higher than any published", 0, 1, 1<<53)
	set.Text(&dir, "out", "directory for head.json and parts/", "packed", true)
	return &cli.Command{Name: "pack", Usage: "write the head and the parts of a fleet file for publication", ArgsUsage: "FILE", Flags: set.Flags(),
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return cli.Exit("pack: expected one fleet file", exitUsage)
			}
			if err := set.Load(c); err != nil {
				return err
			}
			b, _, err := readFleet(c.Args().First())
			if err != nil {
				return err
			}
			h, parts := intent.Pack(uint64(revision), b)
			if err := writePacked(dir, h, parts); err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.Root().Writer, "revision %d: %d bytes in %d parts, digest %s\n", h.Revision, h.Size, len(parts), h.Digest)
			return err
		}}
}

// File modes of packed files.
const (
	dirMode  = 0o755
	fileMode = 0o644
)

func writePacked(dir string, h intent.Head, parts [][]byte) error {
	if err := os.MkdirAll(dir+"/parts", dirMode); err != nil {
		return errors.Wrap(err, "pack")
	}
	for i, p := range parts {
		if err := os.WriteFile(dir+"/parts/"+h.Parts[i].Digest.String(), p, fileMode); err != nil {
			return errors.Wrap(err, "pack")
		}
	}
	b, err := json.MarshalIndent(h, "", "  ")
	if err != nil {
		return errors.Wrap(err, "pack")
	}
	return errors.Wrap(os.WriteFile(dir+"/head.json", append(b, '\n'), fileMode), "pack")
}

// maxStatusSize is the maximum size of a status document in bytes.
const maxStatusSize = 64 << 20

func statusCommand() *cli.Command {
	var url string
	var asJSON bool
	set := &settings.Set{}
	set.URL(&url, "entry", "base URL of an entry", "http://127.0.0.1:8080")
	set.Bool(&asJSON, "json", "print the status document as JSON", false)
	return &cli.Command{Name: "status", Usage: "show the revision in force, lag, versions and load of every host", Flags: set.Flags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := set.Load(c); err != nil {
				return err
			}
			b, err := getStatus(ctx, url)
			if err != nil {
				return err
			}
			if asJSON {
				_, err := c.Root().Writer.Write(b)
				return err
			}
			var st operator.Status
			if err := json.Unmarshal(b, &st); err != nil {
				return errors.Wrap(err, "status: malformed status document")
			}
			return operator.WriteTable(c.Root().Writer, st)
		}}
}

func getStatus(ctx context.Context, url string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*operator.CollectTimeout)
	defer cancel()
	resp, err := httpclient.New("status").Do(ctx, "GET", url+"/status", nil)
	if err != nil {
		return nil, errors.Wrap(err, "status")
	}
	return httpclient.ReadAll(resp, maxStatusSize)
}

func demoCommand() *cli.Command {
	var cfg demo.Config
	var seed int
	var logLevel, fleetFile string
	set := &settings.Set{}
	set.Text(&fleetFile, "fleet", "fleet file with the hosts, teams and limits to run; replaces --hosts and --spread", "", false)
	set.Int(&cfg.Hosts, "hosts", "number of engine hosts", 12, 1, 200)
	set.Int(&cfg.Entries, "entries", "number of entries", 2, 1, 20)
	set.Bytes(&cfg.Size, "size", "size of a version", "64MiB", 1<<16, 1<<30)
	set.Choice(&cfg.Spread, "spread", "what weight distribution minimizes", string(intent.SpreadTime), string(intent.SpreadTime), string(intent.SpreadOriginBytes))
	set.Int(&seed, "seed", "seed for the generated weights and requests", 1, 0, 1<<53)
	set.Duration(&cfg.Duration, "duration", "maximum time for one version to reach all hosts; the link window, which determines the link rates, is 0.4 of it", 40*time.Second, 5*time.Second, time.Hour)
	set.Choice(&logLevel, "log-level", "minimum severity of log records", "error", "debug", "info", "warning", "error")
	flags := append(set.Flags(),
		&cli.BoolFlag{Name: "faults", Usage: "kill and restart an agent, corrupt chunks, take the platform down", Sources: cli.EnvVars(settings.EnvPrefix + "FAULTS")},
		&cli.BoolFlag{Name: "json", Usage: "print the result as one JSON object on the last line", Sources: cli.EnvVars(settings.EnvPrefix + "JSON")})
	return &cli.Command{Name: "demo", Usage: "roll out a version under live requests, with embedded stand-ins on loopback", Flags: flags,
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := set.Load(c); err != nil {
				return err
			}
			log, err := telemetry.NewLogger(os.Stderr, logLevel, telemetry.FormatText)
			if err != nil {
				return err
			}
			if err := telemetry.ConfigureGoZero(log); err != nil {
				return err
			}
			if fleetFile != "" {
				if _, cfg.Fleet, err = readFleet(fleetFile); err != nil {
					return err
				}
			}
			cfg.Seed, cfg.Faults, cfg.JSON = uint64(seed), c.Bool("faults"), c.Bool("json")
			cfg.Live = term.IsTerminal(int(os.Stdout.Fd()))
			ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
			defer stop()
			return demo.Run(ctx, cfg, log, c.Root().Writer)
		}}
}

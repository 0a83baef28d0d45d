package command

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/telemetry"
	"github.com/urfave/cli/v3"
)

// coder is an error with an exit status of its own.
type coder interface{ ExitCode() int }

// Main runs a command line and returns the exit status: 0 for success, 2 for
// settings or arguments that are not allowed, 1 for other failures.
func Main(c *cli.Command, args []string) int {
	usage := false
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	onUsage := func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		usage = true
		return err
	}
	setOnUsage(c, onUsage)
	if err := quietLibraries(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	err := c.Run(context.Background(), args)
	if err == nil {
		return 0
	}
	fmt.Fprintf(os.Stderr, "%s: %s\n", c.Name, err)
	var code coder
	switch {
	case usage:
		return exitUsage
	case errors.As(err, &code):
		return code.ExitCode()
	}
	return exitFailure
}

// quietLibraries keeps the libraries' own logs out of commands that log
// nothing; 'serve' then sets up its log as its settings say.
func quietLibraries() error {
	l, err := telemetry.NewLogger(os.Stderr, logrus.ErrorLevel.String(), telemetry.FormatText)
	if err != nil {
		return err
	}
	return telemetry.ConfigureGoZero(l)
}

// unknownCommand runs when no command was named, or one that does not exist.
func unknownCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return cli.Exit(fmt.Sprintf("unknown command %q; see '%s --help'", c.Args().First(), c.Name), exitUsage)
	}
	return cli.ShowAppHelp(c)
}

func setOnUsage(c *cli.Command, f cli.OnUsageErrorFunc) {
	c.OnUsageError = f
	for _, sub := range c.Commands {
		setOnUsage(sub, f)
	}
}

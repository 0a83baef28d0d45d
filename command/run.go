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

// exitCoder is an error that determines the exit status.
type exitCoder interface{ ExitCode() int }

// Main runs a command line and returns the exit status: 0 for success, 2 for invalid
// settings or arguments, 1 for other failures.
func Main(c *cli.Command, args []string) int {
	usage := false
	c.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	onUsage := func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		usage = true
		return err
	}
	setUsageErrorHandler(c, onUsage)
	if err := quietLibraries(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailure
	}
	err := c.Run(context.Background(), args)
	if err == nil {
		return 0
	}
	fmt.Fprintf(os.Stderr, "%s: %s\n", c.Name, err)
	var code exitCoder
	switch {
	case usage:
		return exitUsage
	case errors.As(err, &code):
		return code.ExitCode()
	}
	return exitFailure
}

// quietLibraries limits the libraries' own logs to errors, for commands that log nothing.
// Commands with log settings set up logging again.
func quietLibraries() error {
	l, err := telemetry.NewLogger(os.Stderr, logrus.ErrorLevel.String(), telemetry.FormatText)
	if err != nil {
		return err
	}
	return telemetry.ConfigureGoZero(l)
}

// unknownCommand runs if the command is missing or does not exist.
func unknownCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return cli.Exit(fmt.Sprintf("unknown command %q; see '%s --help'", c.Args().First(), c.Name), exitUsage)
	}
	return cli.ShowAppHelp(c)
}

func setUsageErrorHandler(c *cli.Command, f cli.OnUsageErrorFunc) {
	c.OnUsageError = f
	for _, sub := range c.Commands {
		setUsageErrorHandler(sub, f)
	}
}

package command

import (
	"context"
	"fmt"
	"os"

	"github.com/pkg/errors"
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

func setOnUsage(c *cli.Command, f cli.OnUsageErrorFunc) {
	c.OnUsageError = f
	for _, sub := range c.Commands {
		setOnUsage(sub, f)
	}
}

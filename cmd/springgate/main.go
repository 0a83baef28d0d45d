// Command springgate runs an entry and provides the commands for operators.
package main

import (
	"os"

	"github.com/springgate/springgate/command"
)

func main() { os.Exit(command.Main(command.NewSpringgate(), os.Args)) }

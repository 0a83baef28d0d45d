// Command springgate-agent runs the agent of one target.
package main

import (
	"os"

	"github.com/springgate/springgate/command"
)

func main() { os.Exit(command.Main(command.NewAgent(), os.Args)) }

// Command springgate is the entry and the operators' command line.
package main

import (
	"os"

	"github.com/springgate/springgate/command"
)

func main() { os.Exit(command.Main(command.NewSpringgate(), os.Args)) }

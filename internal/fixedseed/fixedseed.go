// Package fixedseed makes tests that use rapid deterministic.
package fixedseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seed is used unless -rapid.seed is given.
const seed = 1

// steps is the average number of actions in a state machine test.
const steps = 100

// Main runs the tests with a fixed seed and the given number of checks. Flags
// on the command line take precedence, so that a longer run needs no code change:
//
//	go test ./submission -run Oracle -rapid.checks=100000 -rapid.seed=7
func Main(m *testing.M, checks int) {
	set("rapid.seed", seed)
	set("rapid.checks", checks)
	set("rapid.steps", steps)
	os.Exit(m.Run())
}

// set presets a flag. Flags are parsed afterwards, so the command line overrides it.
func set(name string, value int) {
	if err := flag.Set(name, strconv.Itoa(value)); err != nil {
		panic(err)
	}
}

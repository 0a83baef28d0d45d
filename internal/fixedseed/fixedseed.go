// Package fixedseed makes tests that use rapid give the same verdict each time.
package fixedseed

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// seed is used unless -rapid.seed is given.
const seed = 1

// steps is the average length of a course of events.
const steps = 100

// Main runs the tests with a fixed seed and the given number of checks. Flags
// on the command line go first, so that a longer run needs no change:
//
//	go test ./submission -run Oracle -rapid.checks=100000 -rapid.seed=7
func Main(m *testing.M, checks int) {
	set("rapid.seed", seed)
	set("rapid.checks", checks)
	set("rapid.steps", steps)
	os.Exit(m.Run())
}

// set changes the default of a flag; flags are parsed afterwards.
func set(name string, value int) {
	if err := flag.Set(name, strconv.Itoa(value)); err != nil {
		panic(err)
	}
}

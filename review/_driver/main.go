// Command review-driver plays a case of the review: it runs stand-ins of the platform, starts the
// project's own programs with the commands of the deploy file, sends requests and checks one rule.
// It exits with 1 if the rule was broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// verdict is how a case ended.
type verdict int

const (
	held   verdict = 0
	broken verdict = 1
	failed verdict = 2
)

// cases are the cases by name. trouble tells whether the disruption happens.
var cases = map[string]func(rec *record, bin string, trouble bool) (verdict, error){
	"digests": spoiltDigests,
	"readers": slowReaders,
	"garbage": flood,
}

func main() { os.Exit(int(run(os.Args[1:]))) }

func run(args []string) verdict {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-driver CASE RECORD")
		return failed
	}
	self, err := os.Executable()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	v, err := cases[args[0]](rec, filepath.Dir(self), os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("could not run: %v", err)
		return failed
	}
	return v
}

// Command _cases2 plays the scripted cases of the second review: it starts the project's programs as
// separate processes against stand-ins of the platform, sends requests, and checks one rule. It exits
// with 0 if the rule held, 1 if it was broken and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
)

// Results of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	cases := map[string]func(*record, bool) (int, error){"storm": playStorm}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _cases2 storm DIR")
		os.Exit(failed)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, trouble %t", os.Args[1], trouble)
	result, err := cases[os.Args[1]](rec, trouble)
	if err != nil {
		result = failed
		rec.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	rec.logf("exit %d", result)
	fmt.Println("exit", result)
	os.Exit(result)
}

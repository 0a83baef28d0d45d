// Package settings checks the settings of a program as a whole. Each setting
// is a flag and an environment variable; all faults are listed at once.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// EnvPrefix is the prefix of all environment variables.
const EnvPrefix = "SPRINGGATE_"

// Setting is one checked setting.
type Setting struct {
	Name  string
	Usage string
	Want  string // what is allowed, for faults and help
	value string
	parse func(string) error
}

// Env returns the environment variable of the setting.
func (s *Setting) Env() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(s.Name, "-", "_"))
}

// ValidationError is one setting that is not allowed.
type ValidationError struct {
	Flag, Env, Value, Want string
}

// Error names the flag, its variable, the value and what is allowed.
func (f ValidationError) Error() string {
	return fmt.Sprintf("--%s (%s): %q: want %s", f.Flag, f.Env, f.Value, f.Want)
}

// ValidationErrors are all settings that are not allowed.
type ValidationErrors []ValidationError

// Error returns one line for each fault.
func (f ValidationErrors) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// ExitCode makes the program end with status 2.
func (f ValidationErrors) ExitCode() int { return 2 }

// Set is the settings of one command.
type Set struct{ list []*Setting }

func (s *Set) add(name, usage, want, def string, parse func(string) error) {
	s.list = append(s.list, &Setting{Name: name, Usage: usage, Want: want, value: def, parse: parse})
}

// Flags returns the flags for urfave/cli. They are texts, so that Load can
// check all of them and not only the first.
func (s *Set) Flags() []cli.Flag {
	flags := make([]cli.Flag, len(s.list))
	for i, x := range s.list {
		flags[i] = &cli.StringFlag{Name: x.Name, Usage: x.Usage + " (" + x.Want + ")", Value: x.value,
			Sources: cli.EnvVars(x.Env())}
	}
	return flags
}

// Load parses all settings. On failure the error is a Faults.
func (s *Set) Load(c *cli.Command) error {
	var faults ValidationErrors
	for _, x := range s.list {
		v := c.String(x.Name)
		if x.parse(v) != nil {
			faults = append(faults, ValidationError{Flag: x.Name, Env: x.Env(), Value: v, Want: x.Want})
		}
	}
	if len(faults) > 0 {
		return faults
	}
	return nil
}

// errWant marks a value that is not allowed; the fault says what is.
var errWant = fmt.Errorf("settings: not allowed")

// check turns a condition into an error.
func check(ok bool) error {
	if !ok {
		return errWant
	}
	return nil
}

// Text adds a text setting. A required one may not be empty.
func (s *Set) Text(p *string, name, usage, def string, required bool) {
	want := "a text"
	if required {
		want = "a text that is not empty"
	}
	s.add(name, usage, want, def, func(v string) error {
		*p = v
		return check(!required || v != "")
	})
}

// Choice adds a setting with a fixed list of values.
func (s *Set) Choice(p *string, name, usage, def string, allowed ...string) {
	s.add(name, usage, "one of "+strings.Join(allowed, ", "), def, func(v string) error {
		*p = v
		for _, a := range allowed {
			if v == a {
				return nil
			}
		}
		return errWant
	})
}

// List adds names that are separated by commas. parse returns an error if one is
// not allowed.
func (s *Set) List(name, usage string, allowed []string, parse func(string) error) {
	s.add(name, usage, "none or some of "+strings.Join(allowed, ","), "", parse)
}

// Address adds a listen address.
func (s *Set) Address(p *string, name, usage, def string, required bool) {
	want := "host:port"
	if !required {
		want += ", or empty for none"
	}
	s.add(name, usage, want, def, func(v string) error {
		*p = v
		if v == "" {
			return check(!required)
		}
		_, port, err := net.SplitHostPort(v)
		if err != nil {
			return err
		}
		_, err = strconv.ParseUint(port, 10, 16)
		return err
	})
}

// URL adds the base URL of another system.
func (s *Set) URL(p *string, name, usage, def string) {
	s.add(name, usage, "http:// or https:// and a host", def, func(v string) error {
		*p = strings.TrimSuffix(v, "/")
		u, err := url.Parse(v)
		if err != nil {
			return err
		}
		return check((u.Scheme == "http" || u.Scheme == "https") && u.Host != "")
	})
}

// Duration adds a time.
func (s *Set) Duration(p *time.Duration, name, usage string, def, lo, hi time.Duration) {
	s.add(name, usage, fmt.Sprintf("a duration from %s to %s", lo, hi), def.String(), func(v string) error {
		d, err := time.ParseDuration(v)
		if err != nil {
			return err
		}
		*p = d
		return check(d >= lo && d <= hi)
	})
}

// Int adds a whole number.
func (s *Set) Int(p *int, name, usage string, def, lo, hi int) {
	s.add(name, usage, fmt.Sprintf("a whole number from %d to %d", lo, hi), strconv.Itoa(def), func(v string) error {
		n, err := strconv.Atoi(v)
		if err != nil {
			return err
		}
		*p = n
		return check(n >= lo && n <= hi)
	})
}

// byteUnits are the units of a size, longest first.
var byteUnits = []struct {
	suffix string
	factor int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

// Bytes adds a size such as 64MiB.
func (s *Set) Bytes(p *int64, name, usage, def string, lo, hi int64) {
	want := fmt.Sprintf("a size such as 64MiB, from %d to %d bytes", lo, hi)
	s.add(name, usage, want, def, func(v string) error {
		n, err := parseBytes(v)
		if err != nil {
			return err
		}
		*p = n
		return check(n >= lo && n <= hi)
	})
}

func parseBytes(v string) (int64, error) {
	for _, u := range byteUnits {
		num, ok := strings.CutSuffix(v, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(num, 10, 64)
		if err != nil {
			return 0, err
		}
		if n > (1<<62)/u.factor {
			return 0, errWant
		}
		return n * u.factor, nil
	}
	return 0, errWant
}

// Bool adds a switch that is given as true or false.
func (s *Set) Bool(p *bool, name, usage string, def bool) {
	s.add(name, usage, "true or false", strconv.FormatBool(def), func(v string) error {
		b, err := strconv.ParseBool(v)
		*p = b
		return err
	})
}

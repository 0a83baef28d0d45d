// Package settings parses and validates the settings of a command. Each setting is
// a flag and an environment variable; all invalid settings are reported together.
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

// Setting is one setting with its validation.
type Setting struct {
	Name  string
	Usage string
	Want  string // allowed values, for errors and help
	value string
	parse func(string) error
}

// Env returns the name of the setting's environment variable.
func (s *Setting) Env() string {
	return EnvPrefix + strings.ToUpper(strings.ReplaceAll(s.Name, "-", "_"))
}

// ValidationError reports one setting with an invalid value.
type ValidationError struct {
	Flag, Env, Value, Want string
}

// Error returns the flag, its environment variable, the value and the allowed values.
func (e ValidationError) Error() string {
	return fmt.Sprintf("--%s (%s): %q: want %s", e.Flag, e.Env, e.Value, e.Want)
}

// ValidationErrors are the errors of all invalid settings.
type ValidationErrors []ValidationError

// Error returns one line for each invalid setting.
func (e ValidationErrors) Error() string {
	lines := make([]string, len(e))
	for i, x := range e {
		lines[i] = x.Error()
	}
	return strings.Join(lines, "\n")
}

// ExitCode returns the exit status of the program, 2.
func (e ValidationErrors) ExitCode() int { return 2 }

// Set holds the settings of one command.
type Set struct{ list []*Setting }

func (s *Set) add(name, usage, want, def string, parse func(string) error) {
	s.list = append(s.list, &Setting{Name: name, Usage: usage, Want: want, value: def, parse: parse})
}

// Flags returns the flags for urfave/cli. All of them are string flags, so that Load
// can report every invalid value: urfave/cli stops at the first one.
func (s *Set) Flags() []cli.Flag {
	flags := make([]cli.Flag, len(s.list))
	for i, x := range s.list {
		flags[i] = &cli.StringFlag{Name: x.Name, Usage: x.Usage + " (" + x.Want + ")", Value: x.value,
			Sources: cli.EnvVars(x.Env())}
	}
	return flags
}

// Load parses and validates all settings. Its error is a ValidationErrors.
func (s *Set) Load(c *cli.Command) error {
	var invalid ValidationErrors
	for _, x := range s.list {
		v := c.String(x.Name)
		if x.parse(v) != nil {
			invalid = append(invalid, ValidationError{Flag: x.Name, Env: x.Env(), Value: v, Want: x.Want})
		}
	}
	if len(invalid) > 0 {
		return invalid
	}
	return nil
}

// errInvalid marks an invalid value. It is never shown: the ValidationError names the
// allowed values.
var errInvalid = fmt.Errorf("settings: invalid value")

// check returns errInvalid unless ok is true.
func check(ok bool) error {
	if !ok {
		return errInvalid
	}
	return nil
}

// Text adds a string setting. A required one must not be empty.
func (s *Set) Text(p *string, name, usage, def string, required bool) {
	want := "a string"
	if required {
		want = "a non-empty string"
	}
	s.add(name, usage, want, def, func(v string) error {
		*p = v
		return check(!required || v != "")
	})
}

// Choice adds a setting with a fixed set of values.
func (s *Set) Choice(p *string, name, usage, def string, allowed ...string) {
	s.add(name, usage, "one of "+strings.Join(allowed, ", "), def, func(v string) error {
		*p = v
		for _, a := range allowed {
			if v == a {
				return nil
			}
		}
		return errInvalid
	})
}

// List adds a setting that is a comma-separated list of names. parse returns an error if a
// name is not allowed.
func (s *Set) List(name, usage string, allowed []string, parse func(string) error) {
	s.add(name, usage, "none or some of "+strings.Join(allowed, ","), "", parse)
}

// Address adds a listen address. An address that is not required may be empty.
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

// URL adds a base URL.
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

// Duration adds a duration from lo to hi.
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

// Int adds an integer from lo to hi.
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

// byteUnits are the size suffixes. A suffix precedes the shorter ones that it ends in, such as
// "KiB" before "B", because the first match is used.
var byteUnits = []struct {
	suffix string
	factor int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}, {"", 1}}

// Bytes adds a size in bytes from lo to hi, such as 64MiB.
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
			return 0, errInvalid
		}
		return n * u.factor, nil
	}
	return 0, errInvalid
}

// Bool adds a setting that is true or false.
func (s *Set) Bool(p *bool, name, usage string, def bool) {
	s.add(name, usage, "true or false", strconv.FormatBool(def), func(v string) error {
		b, err := strconv.ParseBool(v)
		*p = b
		return err
	})
}

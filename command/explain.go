package command

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// logLine is one structured log line of a process.
type logLine struct {
	file       string
	timestamp  string // RFC 3339
	lineNumber int
	part       string // name of the component
	text       string
	fields     map[string]any
}

// commonFields are not listed with the other fields: they are printed at the start of the
// line, are the same in all lines (request) or say nothing about the request (level).
var commonFields = []string{"time", "level", "msg", "part", "request"}

func explainCommand() *cli.Command {
	return &cli.Command{Name: "explain", Usage: "print the log lines of one request from all log files, in order of time", ArgsUsage: "REQUEST-ID LOGFILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return cli.Exit("explain: expected a request ID and at least one log file", exitUsage)
			}
			return explain(c.Root().Writer, c.Args().First(), c.Args().Tail())
		}}
}

// explain prints the log lines of a request from all files in order of time.
func explain(w io.Writer, id string, files []string) error {
	var all []logLine
	for _, name := range files {
		lines, err := readLines(name, id)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	if len(all) == 0 {
		return errors.Errorf("no log line found for request %s: it reached none of these processes, or its lines were dropped", id)
	}
	slices.SortStableFunc(all, func(a, b logLine) int {
		return cmp.Or(cmp.Compare(a.timestamp, b.timestamp), cmp.Compare(a.lineNumber, b.lineNumber))
	})
	for _, l := range all {
		fmt.Fprintf(w, "%s %s %s: %s%s\n", l.timestamp, l.file, l.part, l.text, fieldText(l.fields))
	}
	return nil
}

// readLines returns the log lines of a request in a file. Text before the JSON object of a
// line, such as the prefix of a log collector, is skipped.
func readLines(name, id string) ([]logLine, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "explain")
	}
	defer f.Close()
	var out []logLine
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLogLine)
	for n := 0; s.Scan(); n++ {
		text := s.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 || !strings.Contains(text, id) {
			continue
		}
		var fields map[string]any
		if json.Unmarshal([]byte(text[start:]), &fields) != nil || fields["request"] != id {
			continue // a line of another program or of another request
		}
		out = append(out, logLine{file: name, timestamp: fmt.Sprint(fields["time"]), lineNumber: n, part: fmt.Sprint(fields["part"]),
			text: fmt.Sprint(fields["msg"]), fields: fields})
	}
	return out, errors.Wrap(s.Err(), "explain")
}

// fieldText returns the fields of a line as " name=value" pairs sorted by name, without
// commonFields.
func fieldText(fields map[string]any) string {
	var names []string
	for n := range fields {
		if !slices.Contains(commonFields, n) {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	var b strings.Builder
	for _, n := range names {
		fmt.Fprintf(&b, " %s=%v", n, fields[n])
	}
	return b.String()
}

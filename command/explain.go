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
	"github.com/springgate/springgate/gateway"
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
	// level is the last record before the line of the admission level that refused the request; nil
	// if there is none.
	level *logLine
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
		l.print(w)
	}
	for _, l := range all {
		if l.refusedByLevel() {
			explainLevel(w, l)
		}
	}
	return nil
}

func (l logLine) print(w io.Writer) {
	fmt.Fprintf(w, "%s %s %s: %s%s\n", l.timestamp, l.file, l.part, l.text, fieldText(l.fields))
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
	levels := map[any]*logLine{} // last record of the admission level, by service
	s := bufio.NewScanner(f)
	s.Buffer(nil, maxLogLine)
	for n := 0; s.Scan(); n++ {
		l := parseLine(s.Text(), id, gateway.LevelText)
		if l == nil {
			continue
		}
		l.file, l.lineNumber = name, n
		switch {
		case l.fields["request"] == id:
			l.level = levels[l.fields["service"]]
			out = append(out, *l)
		case strings.HasPrefix(l.text, gateway.LevelText):
			levels[l.fields["service"]] = l
		}
	}
	return out, errors.Wrap(s.Err(), "explain")
}

// parseLine returns a log line that contains one of the texts, and nil for others and for lines of
// other programs.
func parseLine(text string, texts ...string) *logLine {
	start := strings.IndexByte(text, '{')
	contains := func(t string) bool { return strings.Contains(text, t) }
	if start < 0 || !slices.ContainsFunc(texts, contains) {
		return nil
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return nil
	}
	return &logLine{timestamp: fmt.Sprint(fields["time"]), part: fmt.Sprint(fields["part"]), text: fmt.Sprint(fields["msg"]), fields: fields}
}

// refusedByLevel reports whether the line says that the request was over the share of its rank and
// team.
func (l logLine) refusedByLevel() bool {
	return l.fields["reason"] == string(gateway.ReasonOverShare)
}

// explainLevel prints which rank and share a refused request had, and the level that refused it,
// which shows who was served instead.
func explainLevel(w io.Writer, l logLine) {
	team := "callers without a team"
	if l.fields["team"] != nil {
		team = fmt.Sprintf("team %v", l.fields["team"])
	}
	fmt.Fprintf(w, "\nRefused by the admission level of service %v: rank %v (0 is the most urgent), %s; fraction of these requests admitted: %v.\n",
		l.fields["service"], l.fields["rank"], team, l.fields["fraction"])
	if l.level == nil {
		fmt.Fprintf(w, "%s has no record of the level before.\n", l.file)
		return
	}
	fmt.Fprintln(w, "The last record of the level before that, with the fractions of all ranks and the lowest of teams:")
	l.level.print(w)
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

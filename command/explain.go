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

// maxLogLine bounds one line of a log in bytes.
const maxLogLine = 1 << 20

// logLine is one structured line of any process's log.
type logLine struct {
	file   string
	at     string // RFC 3339
	order  int
	part   string
	text   string
	fields map[string]any
}

// commonFields are shown in the line itself or say nothing about a request.
var commonFields = []string{"time", "level", "msg", "part", "request"}

func explainCommand() *cli.Command {
	return &cli.Command{Name: "explain", Usage: "print what logs say of one request, in order", ArgsUsage: "REQUEST-ID LOGFILE...",
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() < 2 {
				return cli.Exit("explain: want a request's id and log files", exitUsage)
			}
			return explain(c.Root().Writer, c.Args().First(), c.Args().Tail())
		}}
}

// explain prints the lines of all files that name a request, by time.
func explain(w io.Writer, id string, files []string) error {
	var all []logLine
	for _, name := range files {
		lines, err := linesOf(name, id)
		if err != nil {
			return err
		}
		all = append(all, lines...)
	}
	if len(all) == 0 {
		return errors.Errorf("no line names request %s: it reached none of these processes, or the lines were dropped", id)
	}
	slices.SortStableFunc(all, func(a, b logLine) int { return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order)) })
	for _, l := range all {
		fmt.Fprintf(w, "%s %s %s: %s%s\n", l.at, l.file, l.part, l.text, fieldText(l.fields))
	}
	return nil
}

// linesOf returns the lines of a file that name a request. What stands before
// the JSON object of a line, such as a collector's prefix, is skipped.
func linesOf(name, id string) ([]logLine, error) {
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
			continue // another program's line, or one that only resembles it
		}
		out = append(out, logLine{file: name, at: fmt.Sprint(fields["time"]), order: n, part: fmt.Sprint(fields["part"]),
			text: fmt.Sprint(fields["msg"]), fields: fields})
	}
	return out, errors.Wrap(s.Err(), "explain")
}

// fieldText returns the fields of a line by name.
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

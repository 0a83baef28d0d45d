// Package telemetry sets up logging and metrics. Logs are written with logrus and carry
// the name of the component; the logs of go-zero are redirected to the same output.
package telemetry

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	metrics "github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/outcome"
	"github.com/zeromicro/go-zero/core/logx"
	"github.com/zeromicro/go-zero/core/proc"
	"github.com/zeromicro/go-zero/core/stat"
)

// Log formats accepted by NewLogger.
const (
	FormatText = "text"
	FormatJSON = "json"
)

// jsonTime has millisecond resolution, so that log lines of several processes can be
// ordered.
const jsonTime = "2006-01-02T15:04:05.000Z07:00"

// partField is the log field for the name of the component that logs.
const partField = "part"

// forceQuitAfter replaces the default of 5.5 s after which go-zero kills its process on
// SIGTERM. Shutdown is bounded by the drain timeout instead.
const forceQuitAfter = 365 * 24 * time.Hour

// NewLogger returns a logger that writes to w. It returns an error if the level or the
// format is invalid.
func NewLogger(w io.Writer, level, format string) (*logrus.Logger, error) {
	l := logrus.New()
	l.SetOutput(w)
	lv, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	l.SetLevel(lv)
	switch format {
	case FormatText:
		l.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true})
	case FormatJSON:
		l.SetFormatter(&logrus.JSONFormatter{TimestampFormat: jsonTime})
	default:
		return nil, fmt.Errorf("log format %q: want %s or %s", format, FormatText, FormatJSON)
	}
	return l, nil
}

// Part returns a log entry whose records carry the name of a component.
func Part(l logrus.FieldLogger, part string) *logrus.Entry {
	return l.WithField(partField, part)
}

// ConfigureGoZero disables the statistics logger of go-zero, sends its log to l at
// debug level and removes its limit on the time between SIGTERM and process exit. The
// library sets up its log only once, when its first server is created; setting it up
// before that keeps the writer set here in place.
func ConfigureGoZero(l *logrus.Logger) error {
	proc.SetTimeToForceQuit(forceQuitAfter)
	if err := logx.SetUp(logx.LogConf{}); err != nil {
		return err
	}
	logx.DisableStat()
	stat.SetReporter(nil)
	logx.SetWriter(logx.NewWriter(&lineWriter{entry: Part(l, "go-zero")}))
	logx.SetLevel(logx.SevereLevel)
	if l.IsLevelEnabled(logrus.DebugLevel) {
		logx.SetLevel(logx.InfoLevel)
	}
	return nil
}

// lineWriter logs each line of go-zero's log at debug level.
type lineWriter struct{ entry *logrus.Entry }

func (w *lineWriter) Write(p []byte) (int, error) {
	w.entry.Debug(strings.TrimSpace(string(p)))
	return len(p), nil
}

// Reasons counts refused and retried requests by reason.
type Reasons struct {
	refused map[outcome.Reason]metrics.Counter
	retried map[outcome.Reason]metrics.Counter
}

// NewReasons registers one counter of refusals and one of retries for each reason.
func NewReasons(r metrics.Registry) *Reasons {
	s := &Reasons{refused: map[outcome.Reason]metrics.Counter{}, retried: map[outcome.Reason]metrics.Counter{}}
	for _, i := range outcome.All() {
		s.refused[i.Reason] = metrics.NewRegisteredCounter("refused."+string(i.Reason), r)
		s.retried[i.Reason] = metrics.NewRegisteredCounter("retried."+string(i.Reason), r)
	}
	return s
}

// Refused counts one refusal.
func (s *Reasons) Refused(r outcome.Reason) { inc(s.refused[r]) }

// Retried counts one retry.
func (s *Reasons) Retried(r outcome.Reason) { inc(s.retried[r]) }

func inc(c metrics.Counter) {
	if c != nil {
		c.Inc(1)
	}
}

// WriteText writes the metrics of a registry in the Prometheus text format.
func WriteText(w io.Writer, r metrics.Registry) {
	var lines []string
	r.Each(func(name string, v any) {
		lines = append(lines, textLines(metricName(name), v)...)
	})
	sort.Strings(lines)
	for _, l := range lines {
		fmt.Fprintln(w, l)
	}
}

func metricName(name string) string {
	return "springgate_" + strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

func textLines(name string, v any) []string {
	switch m := v.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s_total %d", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d", name, m.Value())}
	case metrics.GaugeFloat64:
		return []string{fmt.Sprintf("%s %g", name, m.Value())}
	case metrics.Histogram:
		s := m.Snapshot()
		return []string{
			fmt.Sprintf("%s_count %d", name, s.Count()),
			fmt.Sprintf("%s{quantile=\"0.5\"} %g", name, s.Percentile(0.5)),
			fmt.Sprintf("%s{quantile=\"0.99\"} %g", name, s.Percentile(0.99)),
		}
	}
	return nil
}

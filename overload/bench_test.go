package overload

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// busyController returns a controller that holds a level for a service of a number of teams and
// entries, and the time.
func busyController(teams, entries int) (*Controller, []Request, time.Time) {
	c := NewController(Config{})
	var requests []Request
	for i := range teams {
		requests = append(requests, request(Class{Rank: i % 3, Team: fmt.Sprintf("team-%03d", i)}, Fresh))
	}
	now := simStart
	for i := 0; now.Before(simStart.Add(2 * time.Second)); i++ {
		r := requests[i%teams]
		if c.Admit(now, r).Admitted {
			if i%2 == 0 {
				c.RecordPlaced(now, r)
			} else {
				c.RecordUnplaced(now, r)
			}
		}
		now = now.Add(time.Millisecond)
	}
	for i := range entries - 1 {
		c.SetReports(now, fmt.Sprint("entry-", i), c.Reports(now))
	}
	return c, requests, now
}

// sizes runs a benchmark for each number of teams and entries.
func sizes(b *testing.B, run func(b *testing.B, teams, entries int)) {
	for _, teams := range []int{24, 300} {
		for _, entries := range []int{10, 303} {
			b.Run(fmt.Sprintf("teams=%d/entries=%d", teams, entries), func(b *testing.B) { run(b, teams, entries) })
		}
	}
}

// BenchmarkAdmit includes the recomputation each 100 ms at 1000 requests per second.
func BenchmarkAdmit(b *testing.B) {
	sizes(b, func(b *testing.B, teams, entries int) {
		c, requests, now := busyController(teams, entries)
		b.ReportAllocs()
		b.ResetTimer()
		for i := range b.N {
			now = now.Add(time.Millisecond)
			c.Admit(now, requests[i%teams])
		}
	})
}

func BenchmarkRecompute(b *testing.B) {
	sizes(b, func(b *testing.B, teams, entries int) {
		c, _, now := busyController(teams, entries)
		s := c.services[testService]
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			s.updatedAt = time.Time{}
			s.refresh(now)
		}
	})
}

func BenchmarkSetReports(b *testing.B) {
	sizes(b, func(b *testing.B, teams, entries int) {
		c, _, now := busyController(teams, entries)
		reports := c.Reports(now)
		b.ReportAllocs()
		b.ResetTimer()
		for range b.N {
			c.SetReports(now, "entry-0", reports)
		}
	})
}

func BenchmarkReportBytes(b *testing.B) {
	for _, teams := range []int{24, 300} {
		b.Run(fmt.Sprint("teams=", teams), func(b *testing.B) {
			c, _, now := busyController(teams, 2)
			var data []byte
			for range b.N {
				data, _ = msgpack.Marshal(c.Reports(now)[testService])
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}

// TestAdmitDoesNotAllocate checks requests of known classes between recomputations, and the
// recomputation.
func TestAdmitDoesNotAllocate(t *testing.T) {
	c, requests, now := busyController(300, 10)
	assert.Assert(t, len(c.Levels(now)) > 0)
	i := 0
	allocs := testing.AllocsPerRun(2000, func() {
		now = now.Add(time.Millisecond / 2)
		c.Admit(now, requests[i%300])
		i++
	})
	assert.Equal(t, allocs, 0.0)
}

// TestReportEncoding checks that a report survives the encoding of messages between entries, and
// that an empty one, as of a release that tells nothing more, is accepted.
func TestReportEncoding(t *testing.T) {
	c, _, now := busyController(300, 2)
	r := c.Reports(now)[testService]
	data, err := msgpack.Marshal(r)
	assert.NilError(t, err)
	var decoded Report
	assert.NilError(t, msgpack.Unmarshal(data, &decoded))
	assert.DeepEqual(t, decoded, r)
	assert.Assert(t, len(data) < 5000, "%d bytes", len(data))

	c.SetReports(now, "earlier", map[string]Report{testService: {}})
	assert.Assert(t, len(c.Levels(now.Add(updateInterval))) > 0)
}

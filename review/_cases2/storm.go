package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Times and sizes of the case "storm".
const (
	maxValueBytes = 1 << 20 // the largest value that the store takes
	stormGap      = 60 * time.Millisecond
	stormChanges  = 25
	applyWithin   = 2 * time.Second  // the bound of configuration
	historyFor    = 20 * time.Second // how long the store keeps its changes
	checkGap      = 250 * time.Millisecond
	deadline      = 3 * time.Second // of a request
)

// playStorm writes configurations in quick succession and checks, from the bound of configuration
// after the last one on, that its key is accepted and that the key of the one before is not.
func playStorm(rec *record, trouble bool) (int, error) {
	f, err := startPlatform(rec)
	if err != nil {
		return failed, err
	}
	defer f.close()
	padding := f.largestPadding()
	rec.logf("configurations have %d routes and %d bytes", padding+2, size(f.config(1, padding)))
	f.store.Put(fake.KeyConfig, f.config(1, padding))
	if err := f.startTargets(); err != nil {
		return failed, err
	}
	if err := f.startProcesses(); err != nil {
		return failed, err
	}
	if err := f.awaitService(); err != nil {
		return failed, err
	}
	rec.logf("all entries serve")
	time.Sleep(5 * time.Second)
	gap := stormGap
	if !trouble {
		gap = 2 * time.Second
	}
	last, acked := f.writeConfigs(gap, padding)
	wrong := f.checkUntil(last, acked, acked.Add(historyFor-time.Second))
	f.store.Compact()
	rec.logf("the store has dropped its history")
	time.Sleep(applyWithin)
	f.checkUntil(last, acked, time.Now().Add(2*time.Second))
	if wrong > 0 {
		return broken, nil
	}
	return held, nil
}

func size(c fake.Config) int {
	b, _ := json.Marshal(c) // types of package fake can be encoded
	return len(b)
}

// largestPadding returns how many routes fill a configuration up to the largest value.
func (f *fleet) largestPadding() int {
	empty, one := size(f.config(99, 0)), size(f.config(99, 1))
	return (maxValueBytes - empty) / (one - empty)
}

// writeConfigs writes the configurations and returns the number of the last one and when it was
// acknowledged.
func (f *fleet) writeConfigs(gap time.Duration, padding int) (last int, acked time.Time) {
	began := time.Now()
	for i := range stormChanges {
		if gap > time.Second && i == 5 {
			break // five slow changes are enough to compare with
		}
		time.Sleep(time.Until(began.Add(time.Duration(i) * gap)))
		last = i + 2
		f.store.Put(fake.KeyConfig, f.config(last, padding))
		acked = time.Now()
		f.record.logf("configuration %d acknowledged", last)
	}
	return last, acked
}

// checkUntil sends requests to all entries until a time and returns how many were handled as only an
// older configuration allows.
func (f *fleet) checkUntil(last int, acked, until time.Time) (wrong int) {
	var mu sync.Mutex
	for n := 0; time.Now().Before(until); n++ {
		var sending sync.WaitGroup
		for _, e := range f.entries {
			sending.Go(func() {
				sent := time.Since(acked)
				id := fmt.Sprintf("check-%s-%d-%d", e.name, acked.UnixMilli()%100000, time.Now().UnixNano())
				newest := call(e, "/safe/", id+"-new", configKey(last), deadline)
				older := call(e, "/safe/", id+"-old", configKey(last-1), deadline)
				bad := sent > applyWithin && (newest == http.StatusUnauthorized || older == http.StatusOK)
				f.record.logf("%s, %.2f s after the acknowledgement: key of %d: %d, dropped key of %d: %d, runs %d%s", e.name, sent.Seconds(),
					last, newest, last-1, older, len(f.requestLog.Executions(id+"-old")), map[bool]string{true: "  OLDER CONFIGURATION"}[bad])
				mu.Lock()
				defer mu.Unlock()
				if bad {
					wrong++
				}
			})
		}
		sending.Wait()
		time.Sleep(checkGap)
	}
	f.record.logf("%d checks showed an older configuration", wrong)
	return wrong
}

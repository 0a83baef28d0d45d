package soak

import (
	"net/http"
	"regexp"
	"testing"
	"time"

	"github.com/springgate/springgate/platform/fake"
	"gotest.tools/v3/assert"
)

// Guards against entries that end a request at a target that pauses before another target
// has answered it. The entry cancels the request at the silent target and only then finds
// that no other target is left, or that all attempts are used. Streams that have begun are
// truncated and other requests get a 502, although each target continues within pauseMax.
func TestSoakAnswersSurvivePausesOfTargets(t *testing.T) {
	bin := buildPrograms(t)
	for _, cfg := range []Config{
		{Seed: 9503, Engines: 1, PlainTargets: 1}, // no other target is left
		{Seed: 9505, Engines: 2, PlainTargets: 2}, // the second attempt, the last, is at a target that pauses too
	} {
		cfg.Only, cfg.Duration, cfg.Entries = regexp.MustCompile("targets pause"), time.Second, 5
		cfg.Bin, cfg.Dir, cfg.Logf = bin, seedDir(t, cfg.Seed), t.Logf
		runAndCheck(t, cfg)
	}
}

// Guards against a request that crashes targets and is not recognized in time because the target
// paused before: up to 64 other requests were lost with it, and each of them is suspected too.
func TestSoakCrashingRequestIsRecognizedBesidePauses(t *testing.T) {
	cfg := soakConfig(t, buildPrograms(t), 41305)
	cfg.Duration = 3 * time.Second
	runAndCheck(t, cfg)
}

// A request that ran must get a complete response before its deadline, unless its entry or
// a target that it reached was disturbed or leaving.
func TestJudgeSoundTarget(t *testing.T) {
	facts := Facts{Runs: map[string][]string{}, Leaving: map[string]time.Duration{"gone": 10 * second}}
	var attempts []Attempt
	add := func(id, target string, change func(*Attempt)) {
		a := Attempt{ID: id, Status: http.StatusOK, Repeatable: true, Undisturbed: true, Sent: second, Answered: 2 * second}
		change(&a)
		attempts = append(attempts, a)
		if target != "" {
			facts.Runs[id] = []string{target}
		}
	}
	add("truncated", "t", func(a *Attempt) { a.Truncated = true })
	add("failed", "t", func(a *Attempt) { a.Status = http.StatusBadGateway })
	add("no response", "t", func(a *Attempt) { a.Status = 0 })
	add("just before the deadline", "t", func(a *Attempt) { a.Truncated, a.Answered = true, a.Sent+callDeadline-ms })

	add("answered", "t", func(*Attempt) {})
	add("disturbed", "t", func(a *Attempt) { a.Truncated, a.Undisturbed = true, false })
	add("deadline reached", "t", func(a *Attempt) { a.Status, a.Answered = http.StatusGatewayTimeout, a.Sent+callDeadline })
	add("leaving", "gone", func(a *Attempt) { a.Truncated = true })
	add("not run", "", func(a *Attempt) { a.Status = http.StatusBadGateway })
	add("refused", "", func(a *Attempt) { a.Status = http.StatusServiceUnavailable })
	assert.DeepEqual(t, invariantsByID(t, attempts, facts), map[string]string{"truncated": InvariantSoundTarget, "failed": InvariantSoundTarget,
		"no response": InvariantSoundTarget, "just before the deadline": InvariantSoundTarget})
}

// A target's fault disturbs the attempts that reached the target and that it overlaps in time.
func TestMarkDisturbed(t *testing.T) {
	store, err := fake.NewStore()
	assert.NilError(t, err)
	defer store.Close()
	f := &Fleet{requestLog: fake.NewRequestLog(), recorder: newFactRecorder()}
	target, err := fake.NewTarget(fake.TargetConfig{Service: plainService}, store, f.requestLog, nil)
	assert.NilError(t, err)
	defer target.Close()
	f.plainTargets = []*fake.Target{target}
	f.targetFaults = map[*fake.Target][]timeSpan{target: {{f.recorder.start.Add(2 * second), f.recorder.start.Add(3 * second)}}}
	r, err := target.NewRequest("/safe/", fake.Call{ID: "reached", Timeout: callDeadline})
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())

	attempts := []Attempt{
		{ID: "reached", Undisturbed: true, Sent: 1 * second, Answered: 2500 * ms},
		{ID: "reached", Undisturbed: true, Sent: 2500 * ms, Answered: 4 * second},
		{ID: "reached", Undisturbed: true, Sent: 0, Answered: 1 * second},
		{ID: "reached", Undisturbed: true, Sent: 4 * second, Answered: 5 * second},
		{ID: "other", Undisturbed: true, Sent: 1 * second, Answered: 4 * second},
		{ID: "other", Sent: 1 * second, Answered: 4 * second},
	}
	f.markDisturbed(attempts)
	for i, want := range []bool{false, false, true, true, true, false} {
		assert.Check(t, attempts[i].Undisturbed == want, "attempt %d", i)
	}
}

package soak

import (
	"math/rand/v2"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// rotShare is the largest share of an engine's pieces that become corrupt at a time: few enough
// for the agent to replace them between two times.
const rotShare = 0.25

// rotPieces makes staged pieces of the engines corrupt.
func rotPieces(f *Fleet, rng *rand.Rand, _ time.Duration) {
	f.forEachEngine(rng, func(e *fake.Target, _ *Process, rng *rand.Rand, _ time.Time) {
		for range 1 + rng.IntN(int(pieces*rotShare)) {
			e.Rot(rng.IntN(pieces))
		}
	})
}

package mechanism

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestParse(t *testing.T) {
	off, err := Parse("homes,turns")
	assert.NilError(t, err)
	assert.Assert(t, off.Has(Homes) && off.Has(Turns) && !off.Has(Resume))
	none, err := Parse("")
	assert.NilError(t, err)
	assert.Equal(t, none, Off(0))
	_, err = Parse("homes,home")
	assert.ErrorIs(t, err, ErrUnknown)
}

func TestEachMechanismHasItsOwnName(t *testing.T) {
	for m := range count {
		off, err := Parse(m.String())
		assert.NilError(t, err)
		assert.Equal(t, off, Off(0).With(m))
	}
	assert.Equal(t, len(Names()), len(strings.Split(strings.Join(Names(), ","), ",")))
}

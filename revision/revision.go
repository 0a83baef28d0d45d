// Package revision defines the order of the states of the platform's key-value store.
package revision

import "strconv"

// Revision identifies a state of the store. Revisions are ordered by the store's era, and within
// an era by the number of the state, which rises with each change. An era ends when the store is
// restored from an older copy of itself: it then lacks changes that it had acknowledged, and gives
// their numbers out again. The zero Revision is that of a copy that has not been read.
type Revision int64

// numberBits is the number of bits of a Revision for the number of the state. 40 bits are enough
// for a thousand changes a second for 34 years.
const numberBits = 40

// EraBits is the number of bits of a Revision for the era.
const EraBits = 63 - numberBits

// MaxNumber is the largest number of a state.
const MaxNumber = 1<<numberBits - 1

// New returns the revision of the state with a number in an era. Stores that know no eras
// have era 0.
func New(era, number int64) Revision { return Revision(era<<numberBits | number) }

// Era returns the era of the store.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the number of the state within its era.
func (r Revision) Number() int64 { return int64(r) & MaxNumber }

// String returns "era/number", or the number alone in era 0.
func (r Revision) String() string {
	number := strconv.FormatInt(r.Number(), 10)
	if r.Era() == 0 {
		return number
	}
	return strconv.FormatInt(r.Era(), 10) + "/" + number
}

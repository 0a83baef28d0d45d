package mesh

import (
	"github.com/sirupsen/logrus"
	"github.com/springgate/springgate/mirror"
)

// Follow returns the follower, not running, that keeps this entry's copy of the
// store up to date, from the store or from other entries.
func (m *Mesh) Follow(cfg mirror.Config, store mirror.Source, log logrus.FieldLogger) *mirror.Follower {
	return mirror.NewFollower(cfg, m.table, m.source(store), m.otherSource(store), log)
}

// source returns what the entry follows: the store, if it is one of its readers,
// and one of them otherwise.
func (m *Mesh) source(store mirror.Source) func() mirror.Source {
	return func() mirror.Source {
		if reader := m.Reader(); reader != nil {
			return reader
		}
		return store
	}
}

// otherSource returns what the entry follows when that fails.
func (m *Mesh) otherSource(store mirror.Source) func() mirror.Source {
	return func() mirror.Source {
		if m.Reader() != nil {
			return store
		}
		return m.Source()
	}
}

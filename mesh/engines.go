package mesh

import (
	"sync"

	"github.com/springgate/springgate/peer"
)

// streamID names a stream that another process opened, for what was said on it.
type streamID uint64

// engineWord is what an agent said of its engine.
type engineWord struct {
	agent peer.Presence
	state peer.EngineState
}

// newerThan orders words of one engine: by the agent's incarnation, then by its count.
func (w engineWord) newerThan(o engineWord) bool {
	if w.agent.Incarnation != o.agent.Incarnation {
		return w.agent.Incarnation > o.agent.Incarnation
	}
	return w.state.Seq > o.state.Seq
}

// engineWords are the words heard of engines, each from the agents themselves and from
// entries that pass them on; the newest of an engine counts. A word is held as long as
// a stream on which it was said. It is pure.
type engineWords map[string]map[streamID]engineWord // by address of the engine

// newest returns the word that counts for an engine.
func (e engineWords) newest(engine string) (best engineWord, ok bool) {
	for _, w := range e[engine] {
		if !ok || w.newerThan(best) {
			best, ok = w, true
		}
	}
	return best, ok
}

// hear takes a word and reports whether it is now the one that counts.
func (e engineWords) hear(from streamID, w engineWord) bool {
	engine := w.agent.Engine
	old, known := e.newest(engine)
	if e[engine] == nil {
		e[engine] = map[streamID]engineWord{}
	}
	e[engine][from] = w
	return !known || w.newerThan(old)
}

// drop forgets what a stream said of an engine. It returns the word that counts now,
// and whether that changed.
func (e engineWords) drop(from streamID, engine string) (w engineWord, known, changed bool) {
	before, was := e.newest(engine)
	delete(e[engine], from)
	if len(e[engine]) == 0 {
		delete(e, engine)
	}
	w, known = e.newest(engine)
	changed = was && (!known || before.newerThan(w))
	if !known {
		w = before
	}
	return w, known, changed
}

// dropped is an engine of which the word that counts has changed because a stream
// ended.
type dropped struct {
	word  engineWord
	known bool // otherwise nothing is known any more, and word is the last one
}

// end forgets all that a stream said.
func (e engineWords) end(from streamID) []dropped {
	var out []dropped
	for engine, words := range e {
		if _, said := words[from]; !said {
			continue
		}
		if w, known, changed := e.drop(from, engine); changed {
			out = append(out, dropped{w, known})
		}
	}
	return out
}

// engineBoard keeps the words and tells the listener, in order.
type engineBoard struct {
	listener Listener

	mu    sync.Mutex
	words engineWords
	last  streamID
}

func newEngineBoard(l Listener) *engineBoard {
	return &engineBoard{listener: l, words: engineWords{}}
}

// open returns a name for a new stream.
func (b *engineBoard) open() streamID {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.last++
	return b.last
}

func (b *engineBoard) hear(from streamID, w engineWord) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.words.hear(from, w) {
		b.listener.EngineState(w.agent, &w.state)
	}
}

func (b *engineBoard) drop(from streamID, engine string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w, known, changed := b.words.drop(from, engine); changed {
		b.tell(dropped{w, known})
	}
}

func (b *engineBoard) end(from streamID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, d := range b.words.end(from) {
		b.tell(d)
	}
}

func (b *engineBoard) tell(d dropped) {
	if d.known {
		b.listener.EngineState(d.word.agent, &d.word.state)
		return
	}
	b.listener.EngineState(d.word.agent, nil)
}

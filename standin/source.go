package standin

import (
	"bytes"
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/springgate/springgate/digest"
	"github.com/springgate/springgate/spread"
	"golang.org/x/time/rate"
)

// sourcePiece is how much of an answer is paced at once.
const sourcePiece = 64 << 10

// SourceFaults are the faults of a source.
type SourceFaults struct {
	Down     atomic.Bool
	Truncate atomic.Bool
	// Corrupt is one in how many chunks is sent with a wrong byte; 0 is none.
	Corrupt atomic.Int64
	// Limit makes every call end in 429 with this Retry-After in seconds.
	Limit atomic.Int64
}

// Source is a fake of a weight store or an origin with a paced link.
type Source struct {
	*server
	Faults SourceFaults

	link *rate.Limiter

	mu        sync.Mutex
	manifests map[digest.Digest][]byte
	chunks    map[digest.Digest][]byte
	served    atomic.Int64
	requests  atomic.Int64
}

// NewSource starts a source on addr whose link carries bytesPerSecond; zero
// is no limit.
func NewSource(addr string, bytesPerSecond float64) (*Source, error) {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(bytesPerSecond)
	}
	s := &Source{link: rate.NewLimiter(limit, sourcePiece),
		manifests: map[digest.Digest][]byte{}, chunks: map[digest.Digest][]byte{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/manifests/{digest}", s.handler(s.manifests, false))
	mux.HandleFunc("GET /v1/chunks/{digest}", s.handler(s.chunks, true))
	var err error
	s.server, err = serve(addr, mux)
	return s, err
}

// Add puts a version into the source and returns the digest of its manifest.
func (s *Source) Add(name string, chunkSize int, content []byte) (digest.Digest, *spread.Manifest, error) {
	m, raw, err := spread.NewManifest(name, chunkSize, content)
	if err != nil {
		return digest.Digest{}, nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := digest.Of(raw)
	s.manifests[id] = raw
	for i, d := range m.Chunks {
		at := i * chunkSize
		s.chunks[d] = content[at:min(len(content), at+chunkSize)]
	}
	return id, m, nil
}

// Served returns how many bytes of chunks have been sent.
func (s *Source) Served() int64 { return s.served.Load() }

// Requests returns how many calls there were.
func (s *Source) Requests() int64 { return s.requests.Load() }

func (s *Source) handler(content map[digest.Digest][]byte, count bool) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n := s.requests.Add(1)
		if s.refused(w) {
			return
		}
		d, err := digest.Parse(r.PathValue("digest"))
		s.mu.Lock()
		b, ok := content[d]
		s.mu.Unlock()
		if err != nil || !ok {
			http.NotFound(w, r)
			return
		}
		s.send(w, r, s.spoil(b, n), count)
	}
}

func (s *Source) refused(w http.ResponseWriter) bool {
	if s.Faults.Down.Load() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return true
	}
	if after := s.Faults.Limit.Load(); after > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(after, 10))
		http.Error(w, "limited", http.StatusTooManyRequests)
		return true
	}
	return false
}

// spoil returns b, or a copy with a wrong byte if its turn has come.
func (s *Source) spoil(b []byte, n int64) []byte {
	every := s.Faults.Corrupt.Load()
	if every == 0 || n%every != 0 {
		return b
	}
	b = bytes.Clone(b)
	b[len(b)/2] ^= 0xff
	return b
}

func (s *Source) send(w http.ResponseWriter, r *http.Request, b []byte, count bool) {
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if s.Faults.Truncate.Load() {
		b = b[:len(b)/2]
	}
	for len(b) > 0 {
		n := min(len(b), sourcePiece)
		if count {
			if s.link.WaitN(r.Context(), n) != nil {
				return
			}
			s.served.Add(int64(n))
		}
		if _, err := w.Write(b[:n]); err != nil {
			return
		}
		b = b[n:]
	}
}

// Content returns size bytes that follow from seed.
func Content(size int, seed uint64) []byte {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	b := make([]byte, size)
	_, _ = rand.NewChaCha8(key).Read(b)
	return b
}

// pause waits for d or until the request ends.
func pause(r *http.Request, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

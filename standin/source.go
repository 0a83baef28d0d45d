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

// sendSize is the number of bytes that are sent at a time under the rate limit; it is also the
// burst of the limit.
const sendSize = 64 << 10

// SourceFaults are faults that can be switched on in a source.
type SourceFaults struct {
	Down     atomic.Bool // fail all calls with 503
	Truncate atomic.Bool // send only the first half of each answer
	// Corrupt is the interval in calls at which an answer is sent with one wrong byte; 0 means
	// never.
	Corrupt atomic.Int64
	// RetryAfter, if positive, makes every call fail with 429 and this Retry-After in seconds.
	RetryAfter atomic.Int64
}

// Source is a fake weight store or origin with a rate-limited link.
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

// NewSource starts a source on addr that sends chunks at up to bytesPerSecond; zero means no
// limit.
func NewSource(addr string, bytesPerSecond float64) (*Source, error) {
	limit := rate.Inf
	if bytesPerSecond > 0 {
		limit = rate.Limit(bytesPerSecond)
	}
	s := &Source{link: rate.NewLimiter(limit, sendSize),
		manifests: map[digest.Digest][]byte{}, chunks: map[digest.Digest][]byte{}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/manifests/{digest}", s.handler(s.manifests, false))
	mux.HandleFunc("GET /v1/chunks/{digest}", s.handler(s.chunks, true))
	var err error
	s.server, err = serve(addr, mux)
	return s, err
}

// Add adds a version to the source and returns the digest of its manifest and the manifest.
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
		offset := i * chunkSize
		s.chunks[d] = content[offset:min(len(content), offset+chunkSize)]
	}
	return id, m, nil
}

// BytesServed returns the number of chunk bytes sent.
func (s *Source) BytesServed() int64 { return s.served.Load() }

// Requests returns the number of calls.
func (s *Source) Requests() int64 { return s.requests.Load() }

// handler serves content by digest. isChunk is true for chunks, which are rate-limited and
// counted in BytesServed.
func (s *Source) handler(content map[digest.Digest][]byte, isChunk bool) http.HandlerFunc {
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
		s.send(w, r, s.corrupt(b, n), isChunk)
	}
}

// refused answers with an error and returns true if a fault that fails all calls is on.
func (s *Source) refused(w http.ResponseWriter) bool {
	if s.Faults.Down.Load() {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return true
	}
	if after := s.Faults.RetryAfter.Load(); after > 0 {
		w.Header().Set("Retry-After", strconv.FormatInt(after, 10))
		http.Error(w, "limited", http.StatusTooManyRequests)
		return true
	}
	return false
}

// corrupt returns b, or a copy with one wrong byte if call n is to be corrupted.
func (s *Source) corrupt(b []byte, n int64) []byte {
	every := s.Faults.Corrupt.Load()
	if every == 0 || n%every != 0 {
		return b
	}
	b = bytes.Clone(b)
	b[len(b)/2] ^= 0xff
	return b
}

func (s *Source) send(w http.ResponseWriter, r *http.Request, b []byte, isChunk bool) {
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	if s.Faults.Truncate.Load() {
		b = b[:len(b)/2]
	}
	for len(b) > 0 {
		n := min(len(b), sendSize)
		if isChunk {
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

// Content returns size pseudo-random bytes that are determined by seed.
func Content(size int, seed uint64) []byte {
	var key [32]byte
	binary.LittleEndian.PutUint64(key[:], seed)
	b := make([]byte, size)
	_, _ = rand.NewChaCha8(key).Read(b)
	return b
}

// pause waits for d and returns true, or false if the request is cancelled before d has passed.
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

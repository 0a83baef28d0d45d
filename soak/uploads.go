package soak

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/springgate/springgate/platform/fake"
)

// Parameters of uploads that stop one byte short of their announced length.
const (
	uploads      = 200
	uploadBytes  = maxBody
	uploadChunk  = 64 << 10
	uploadHold   = 3 * time.Second // how long the connections stay open after the last byte
	uploadWindow = uploadHold + 2*time.Second
)

// sendIncompleteUploads sends bodies of the largest allowed size to one entry, each without its last
// byte, and keeps the connections open.
func sendIncompleteUploads(f *Fleet, rng *rand.Rand, _ time.Duration) {
	entry := pick(rng, f.entries)
	f.logf("%d incomplete uploads of %d bytes to %s", uploads, uploadBytes, entry.node.Name)
	var sending sync.WaitGroup
	for i := range uploads {
		id := fmt.Sprintf("upload-%d-%d", f.cfg.Seed, i)
		sending.Go(func() { sendIncompleteUpload(entry.node.Callers, id) })
	}
	sending.Wait()
}

// sendIncompleteUpload sends all but the last byte of a body. Its errors are ignored: the entry may
// refuse the request and close the connection.
func sendIncompleteUpload(addr, id string) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(uploadWindow))
	call := fake.Call{ID: id, Key: permanentKey, Timeout: clientTimeout, Prompt: 100}
	head := fake.Head(hostName, kinds[2].path, call, uploadBytes)
	if _, err := conn.Write([]byte(head)); err != nil {
		return
	}
	chunk := make([]byte, uploadChunk)
	for left := uploadBytes - 1; left > 0; left -= len(chunk) {
		if _, err := conn.Write(chunk[:min(left, len(chunk))]); err != nil {
			return
		}
	}
	_, _ = conn.Read(make([]byte, 1)) // until the entry ends the request, or the deadline
}

// peakMemory returns the largest resident size of a process so far, in bytes.
func (p *Process) peakMemory() (int64, error) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(v), " kB"), 10, 64)
			return kb << 10, err
		}
	}
	return 0, fmt.Errorf("soak: no peak memory of process %d", pid)
}

// overMemory returns the processes that have held more memory than their host has.
func (f *Fleet) overMemory() (out []string, err error) {
	for _, p := range append(f.entries[:len(f.entries):len(f.entries)], f.agents...) {
		n, err := p.peakMemory()
		if err != nil {
			return nil, err
		}
		if n > hostMemory {
			out = append(out, fmt.Sprintf("%s held %d MB of %d MB", p.node.Name, n>>20, hostMemory>>20))
		}
	}
	return out, nil
}

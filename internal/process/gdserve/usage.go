package gdserve

import (
	"net"
	"os"
	"runtime"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
)

// usage is the process's use of its host's resources.
type usage struct {
	// CPUSeconds is the CPU time since the start of the process.
	CPUSeconds float64 `json:"cpu-seconds"`
	// ResidentBytes is the resident set size.
	ResidentBytes uint64 `json:"resident-bytes"`
	// HeapBytes is the memory of live objects and of objects not yet collected.
	HeapBytes uint64 `json:"heap-bytes"`
	// StackBytes is the memory of the goroutines' stacks.
	StackBytes uint64 `json:"stack-bytes"`
	// Goroutines is the number of goroutines.
	Goroutines int `json:"goroutines"`
	// PeerBytes is the number of bytes exchanged on connections that peers opened.
	PeerBytes uint64 `json:"peer-bytes"`
}

// readUsage returns the current usage. Values that can't be read are zero.
func readUsage(peerBytes uint64) usage {
	samples := []metrics.Sample{
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
	}
	metrics.Read(samples)
	return usage{
		CPUSeconds:    cpuSeconds(),
		ResidentBytes: residentBytes(),
		HeapBytes:     samples[0].Value.Uint64(),
		StackBytes:    samples[1].Value.Uint64(),
		Goroutines:    runtime.NumGoroutine(),
		PeerBytes:     peerBytes,
	}
}

func cpuSeconds() float64 {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	const microseconds = 1e6
	return float64(ru.Utime.Sec+ru.Stime.Sec) + float64(ru.Utime.Usec+ru.Stime.Usec)/microseconds
}

// residentBytes returns the resident set size, the second field of /proc/self/statm,
// which is in pages.
func residentBytes() uint64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseUint(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * uint64(os.Getpagesize())
}

// countingListener counts the bytes of the connections that it accepts.
type countingListener struct {
	net.Listener
	bytes atomic.Uint64
}

// Accept returns the next connection.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: &l.bytes}, nil
}

type countingConn struct {
	net.Conn
	bytes *atomic.Uint64
}

// Read reads from the connection and counts the bytes.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(uint64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(uint64(n))
	return n, err
}

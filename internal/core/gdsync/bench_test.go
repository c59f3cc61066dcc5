package gdsync

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/core/gdconf"
)

// benchSizes are the numbers of services and upstreams of the benchmarks. The
// last one is the largest supported deployment.
var benchSizes = []struct{ services, upstreams int }{{18, 79}, {180, 790}, {900, 3950}, {1800, 7900}}

// sized returns a deployment with exactly the given number of upstreams.
func sized(revision uint64, services, upstreams, salt int) config.Deployment {
	each := upstreams / services
	d := deployment(revision, services, each, salt)
	id := services * each
	for i := range upstreams - id {
		s := &d.Services[i]
		id++
		s.Upstreams = append(s.Upstreams, config.Upstream{
			Name: fmt.Sprintf("service-%d-%d", i, each), ID: uint32(id), Domain: "getxo", Slots: 3, Agent: agentAddress(id),
		})
	}
	return d
}

func benchStates(b *testing.B, services, upstreams int) (base, next *State) {
	b.Helper()
	var states [2]*State
	for i := range states {
		values := split(sized(uint64(i+1), services, upstreams, i))
		idx, err := config.ParseIndex(values[config.IndexKey])
		require.NoError(b, err)
		states[i] = assemble(b, idx, values)
	}
	return states[0], states[1]
}

func assemble(b testing.TB, idx config.Index, values map[string][]byte) *State {
	var entries []*entry
	for _, row := range idx.Services {
		e, err := newEntry(row.Name, values[config.ServiceKey(row.Name)])
		require.NoError(b, err)
		entries = append(entries, e)
	}
	s, err := newState(idx, entries)
	require.NoError(b, err)
	return s
}

func eachSize(b *testing.B, f func(b *testing.B, services, upstreams int)) {
	for _, s := range benchSizes {
		b.Run(fmt.Sprintf("%d-%d", s.services, s.upstreams), func(b *testing.B) {
			b.ReportAllocs()
			f(b, s.services, s.upstreams)
		})
	}
}

func BenchmarkParse(b *testing.B) {
	eachSize(b, func(b *testing.B, services, upstreams int) {
		values := split(sized(1, services, upstreams, 0))
		total := 0
		for _, v := range values {
			total += len(v)
		}
		before := cpuTime()
		for b.Loop() {
			idx, err := config.ParseIndex(values[config.IndexKey])
			require.NoError(b, err)
			for _, row := range idx.Services {
				_, err := newEntry(row.Name, values[config.ServiceKey(row.Name)])
				require.NoError(b, err)
			}
		}
		reportCPU(b, before)
		b.ReportMetric(float64(len(values[config.IndexKey])), "index-B")
		b.ReportMetric(float64(total), "values-B")
	})
}

func BenchmarkView(b *testing.B) {
	eachSize(b, func(b *testing.B, services, upstreams int) {
		d := sized(1, services, upstreams, 0)
		before := cpuTime()
		for b.Loop() {
			_, err := gdconf.New(d)
			require.NoError(b, err)
		}
		reportCPU(b, before)
	})
}

// BenchmarkDelta measures the application of an update with one changed
// service, from its decoding to the new view.
func BenchmarkDelta(b *testing.B) {
	eachSize(b, func(b *testing.B, services, upstreams int) {
		base, next := benchStates(b, services, upstreams)
		data, err := Encode(next.update(base))
		require.NoError(b, err)
		before := cpuTime()
		for b.Loop() {
			u, err := Decode(data)
			require.NoError(b, err)
			_, err = base.apply(u)
			require.NoError(b, err)
		}
		reportCPU(b, before)
		b.ReportMetric(float64(len(data)), "delta-B")
	})
}

// BenchmarkMakeDelta measures the computation of a difference.
func BenchmarkMakeDelta(b *testing.B) {
	eachSize(b, func(b *testing.B, services, upstreams int) {
		base, next := benchStates(b, services, upstreams)
		before := cpuTime()
		for b.Loop() {
			_ = next.update(base)
		}
		reportCPU(b, before)
		data, err := Encode(next.update(nil))
		require.NoError(b, err)
		b.ReportMetric(float64(len(data)), "snapshot-B")
	})
}

// BenchmarkMemory reports the heap size of one configuration, and of a core
// with all of its previous states.
func BenchmarkMemory(b *testing.B) {
	eachSize(b, func(b *testing.B, services, upstreams int) {
		for b.Loop() {
			before := heapBytes()
			values := split(sized(1, services, upstreams, 0))
			idx, err := config.ParseIndex(values[config.IndexKey])
			require.NoError(b, err)
			s := assemble(b, idx, values)
			clear(values)
			one := heapBytes()
			c := warmNet(1, 1, deployment(1, 1, 1, 0), nil).cores[0]
			c.state = s
			for i := range maxPreviousStates + 1 {
				next, err := c.state.apply(changed(c.state, uint64(i+2)))
				require.NoError(b, err)
				c.activate(c.status.ActiveSince, "", next)
			}
			s, idx = nil, config.Index{}
			b.ReportMetric(float64(one-before), "state-B")
			b.ReportMetric(float64(heapBytes()-before), "core-B")
			runtime.KeepAlive(c)
		}
	})
}

// changed returns an update that changes the last service.
func changed(s *State, revision uint64) Update {
	d := s.View().Deployment()
	services := append([]config.Service(nil), d.Services...)
	services[len(services)-1].DrainSeconds = int(revision)
	d.Services, d.Revision = services, revision
	v, err := gdconf.New(d)
	if err != nil {
		panic(err)
	}
	u := s.update(s)
	u.Revision, u.Digest = revision, v.Version().Digest()
	name := services[len(services)-1].Name
	u.Values = []ServiceValue{{Name: name, Data: split(d)[config.ServiceKey(name)]}}
	return u
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// cpuTime returns the CPU time of this process, which depends less on the load
// of the machine than wall-clock time does.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func reportCPU(b *testing.B, before time.Duration) {
	b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/op")
}

// maxControlBytes is the limit on the memory that a process uses for its
// configuration.
const maxControlBytes = 64_000_000

// TestBoundMemory checks the limit for the largest configuration with its
// previous states and a second copy, which exists while a change is applied.
func TestBoundMemory(t *testing.T) {
	largest := benchSizes[len(benchSizes)-1]
	before := heapBytes()
	values := split(sized(1, largest.services, largest.upstreams, 0))
	idx, err := config.ParseIndex(values[config.IndexKey])
	require.NoError(t, err)
	states := []*State{assemble(t, idx, values), assemble(t, idx, values)}
	for range maxPreviousStates {
		states = append(states, states[0].withoutView())
	}
	require.Less(t, heapBytes()-before, int64(maxControlBytes))
	runtime.KeepAlive(states)
}

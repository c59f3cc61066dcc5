package gdsoak

import (
	"context"
	"path/filepath"
	"strconv"
	"sync"

	"golang.org/x/sync/errgroup"
)

// Series runs several soaks. Its exported fields are set before Run.
type Series struct {
	// Soak has the settings that all runs share. Each run has its own seed and its own
	// directory in Dir.
	Soak
	// Jobs is the number of concurrent runs.
	Jobs int
	// Progress, if set, is called with each report, one at a time.
	Progress func(Report)
}

// Summary sums the reports of a series. Broken lists, by promise, the seeds that broke it.
type Summary struct {
	Seeds          int                 `json:"seeds"`
	Requests       int                 `json:"requests"`
	Faults         map[string]int      `json:"faults"`
	DatagramFaults map[string]int      `json:"datagrams-harmed"`
	Checks         map[string]int      `json:"checks"`
	Broken         map[string][]uint64 `json:"broken"`
}

// Run runs a soak for each seed that next returns, until it returns false or the context
// ends. It returns the sum of the reports.
func (s *Series) Run(ctx context.Context, next func() (seed uint64, ok bool)) (Summary, error) {
	sum := Summary{
		Faults: make(map[string]int), DatagramFaults: make(map[string]int), Checks: make(map[string]int), Broken: make(map[string][]uint64),
	}
	var mu sync.Mutex
	g, ctx := errgroup.WithContext(ctx)
	for range max(s.Jobs, 1) {
		g.Go(func() error {
			for ctx.Err() == nil {
				mu.Lock()
				seed, ok := next()
				mu.Unlock()
				if !ok {
					return nil
				}
				soak := s.Soak
				soak.Seed, soak.Dir = seed, filepath.Join(s.Dir, "seed-"+strconv.FormatUint(seed, 10))
				r, err := soak.Run(ctx)
				if err != nil {
					return err
				}
				mu.Lock()
				sum.add(r)
				if s.Progress != nil {
					s.Progress(r)
				}
				mu.Unlock()
			}
			return nil
		})
	}
	return sum, g.Wait()
}

func (s *Summary) add(r Report) {
	s.Seeds++
	s.Requests += r.Requests
	for _, part := range []struct{ to, from map[string]int }{{s.Faults, r.Faults}, {s.DatagramFaults, r.DatagramFaults}, {s.Checks, r.Checks}} {
		for name, n := range part.from {
			part.to[name] += n
		}
	}
	for _, b := range r.Breaches {
		if seeds := s.Broken[b.Promise]; len(seeds) == 0 || seeds[len(seeds)-1] != r.Seed {
			s.Broken[b.Promise] = append(seeds, r.Seed)
		}
	}
}

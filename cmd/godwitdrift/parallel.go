package main

import (
	"fmt"
	"io"
	"os"
	"sync"
)

// maxParallel is the maximum number of concurrent requests of a command.
const maxParallel = 32

// inParallel calls f for each item, with at most maxParallel calls at a time, and
// returns the results in the order of the items. If w is a terminal, it shows the
// progress on it.
func inParallel[T, R any](w io.Writer, items []T, f func(T) R) []R {
	results := make([]R, len(items))
	bar := newProgress(w, len(items))
	slots := make(chan struct{}, maxParallel)
	done := make(chan struct{}, len(items))
	var wg sync.WaitGroup
	for n, item := range items {
		slots <- struct{}{}
		wg.Go(func() {
			results[n] = f(item)
			<-slots
			done <- struct{}{}
		})
		bar.show(len(done))
	}
	wg.Wait()
	bar.clear()
	return results
}

// progress is a progress line on a terminal.
type progress struct {
	w     io.Writer
	total int
}

// newProgress returns a progress line on w, which shows nothing unless w is a terminal.
func newProgress(w io.Writer, total int) progress {
	f, ok := w.(*os.File)
	if !ok {
		return progress{}
	}
	st, err := f.Stat()
	if err != nil || st.Mode()&os.ModeCharDevice == 0 {
		return progress{}
	}
	return progress{w: w, total: total}
}

func (p progress) show(done int) {
	if p.w != nil {
		fmt.Fprintf(p.w, "\rqueried %d of %d", done, p.total)
	}
}

func (p progress) clear() {
	if p.w != nil {
		fmt.Fprint(p.w, "\r\033[K")
	}
}

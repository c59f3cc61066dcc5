package gddiscovery_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/core/gddiscovery"
)

// TestEachChangeIsSentTwice plays the patterns that once made a reader's traffic grow: a
// quiet day after a start with many changes, in which each message repeated the last
// changes, and a storm of registrations after an outage of the store, in which each
// change was in seven messages or more.
func TestEachChangeIsSentTwice(t *testing.T) {
	h := gddiscovery.History{Repeats: 2}
	_, ok := h.Base()
	require.False(t, ok)
	sent := make(map[gddiscovery.Revision]int)
	send := func(revision gddiscovery.Revision) {
		if base, ok := h.Base(); ok {
			for r := base + 1; r <= revision; r++ {
				sent[r]++
			}
		}
		h.Sent(revision)
	}
	send(100)
	for range 50 { // quiet
		send(100)
	}
	require.Empty(t, sent)
	for r := gddiscovery.Revision(104); r <= 300; r += 4 { // a storm
		send(r)
	}
	send(300)
	for r := gddiscovery.Revision(101); r <= 300; r++ {
		require.Equal(t, 2, sent[r], "change %d", r)
	}
	h.Reset()
	_, ok = h.Base()
	require.False(t, ok)
}

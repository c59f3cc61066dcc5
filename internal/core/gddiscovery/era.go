package gddiscovery

import (
	"sync"

	"github.com/pkg/errors"
)

// ErrSuperseded is returned for an answer of a source from an earlier era than the latest
// known one.
var ErrSuperseded = errors.New("answer is from an earlier era of the source")

// maxSuperseded is how many requests in a row may be answered from an earlier era than the
// latest known one when they are sent: the first answers may come over a connection to an
// instance of the source that has been replaced.
const maxSuperseded = 3

// EraTracker determines the era of each answer of a source. The zero value knows era 0.
// An EraTracker is safe for concurrent use.
type EraTracker struct {
	mu         sync.Mutex
	known      uint64
	superseded int
}

// Known returns the latest known era.
func (t *EraTracker) Known() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.known
}

// Unstated returns the era of an answer that does not state it, or not in a valid form. It
// counts as the latest known one.
func (t *EraTracker) Unstated() uint64 { return t.Known() }

// Stated returns the era of an answer that states it. requestedIn is the latest known era
// when the request was sent. The error is ErrSuperseded if the answer must not be used. A
// source that keeps stating an earlier era is in error, since eras only rise; its answers
// then count as those of the latest known era.
func (t *EraTracker) Stated(era, requestedIn uint64) (uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if era >= t.known {
		t.known, t.superseded = era, 0
		return era, nil
	}
	if requestedIn < t.known {
		return 0, ErrSuperseded // it was sent before the later era was known
	}
	if t.superseded < maxSuperseded {
		t.superseded++
		return 0, ErrSuperseded
	}
	return t.known, nil
}

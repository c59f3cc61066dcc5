package gdenvelope

const (
	windowWords = 16
	wordBits    = 64
	// windowSize is the number of counters below the highest one that are still
	// accepted if envelopes arrive out of order.
	windowSize = (windowWords - 1) * wordBits
)

// window is the replay window of a session. Invariant: for each counter c in
// (highest-windowSize, highest], bit c mod (windowWords*wordBits) is set if c was
// observed.
type window struct {
	highest uint64
	bits    [windowWords]uint64
}

// add records the counter and reports whether it is new. Counter 0 is never sent.
func (w *window) add(counter uint64) bool {
	if counter == 0 || counter+windowSize <= w.highest {
		return false
	}
	if counter > w.highest {
		w.slide(counter)
	}
	word, bit := counter/wordBits%windowWords, uint64(1)<<(counter%wordBits)
	if w.bits[word]&bit != 0 {
		return false
	}
	w.bits[word] |= bit
	return true
}

// slide moves the window up to the counter and clears the words that it enters.
func (w *window) slide(counter uint64) {
	from, to := w.highest/wordBits, counter/wordBits
	n := min(to-from, windowWords)
	for i := range n {
		w.bits[(to-i)%windowWords] = 0
	}
	w.highest = counter
}

package gdenvelope

const (
	windowWords = 16
	wordBits    = 64
	// windowSize is how far, in envelopes, one may be overtaken by later ones
	// and still be taken.
	windowSize = (windowWords - 1) * wordBits
)

// window remembers which counters of a session were seen. Invariant: bit c mod
// (windowWords*wordBits) tells whether counter c was seen, for each c in
// (highest-windowSize, highest].
type window struct {
	highest uint64
	bits    [windowWords]uint64
}

// add reports whether the counter is new, and remembers it. Counter 0 is never
// sent.
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

// slide moves the window up to the counter and clears the words it enters.
func (w *window) slide(counter uint64) {
	from, to := w.highest/wordBits, counter/wordBits
	n := min(to-from, windowWords)
	for i := range n {
		w.bits[(to-i)%windowWords] = 0
	}
	w.highest = counter
}

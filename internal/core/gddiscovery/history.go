package gddiscovery

// History selects the changes that a host sends to all others: each change is sent
// several times, in case a message is lost.
type History struct {
	// Repeats is in how many messages each change is sent.
	Repeats int

	sent []Revision // the revisions of the last messages
}

// Base returns the revision after which all changes are sent with the next message. It
// reports false before the first message: the receivers then have all changes already or
// need more than the recent ones.
func (h *History) Base() (Revision, bool) {
	if len(h.sent) == 0 {
		return 0, false
	}
	return h.sent[0], true
}

// Sent records that a message with the changes up to the revision was sent to all.
func (h *History) Sent(revision Revision) {
	h.sent = append(h.sent, revision)
	h.sent = h.sent[max(len(h.sent)-h.Repeats, 0):]
}

// Reset forgets the messages. It is called while the host does not send its changes.
func (h *History) Reset() { h.sent = nil }

// Package gdconfsync runs the configuration core of a process. It executes the
// actions of a [gdsync.Core] and reports their results to it.
//
// One goroutine owns the core and receives events from a bounded inbox. Other
// goroutines call the platform and peers, with bounded queues in front of them.
// Events and calls that don't fit are dropped and counted; a later digest repairs
// the loss of any message.
//
// # Usage
//
//	s := &gdconfsync.Syncer{Name: "booking-1", Platform: client, Peers: peers, Seed: seed}
//	go s.Run(ctx)
//	...
//	if !s.MayDecide(time.Now()) {
//		return // no configuration yet, or unconfirmed after a pause
//	}
//	v := s.View()
//
// MayDecide detects a pause of the process at its first call after the pause. It
// compares the time with the last heartbeat of the core's goroutine, so that no
// packet is decided by an outdated configuration before that goroutine runs again.
package gdconfsync

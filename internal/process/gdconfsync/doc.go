// Package gdconfsync runs the configuration core of a process: it carries out
// the actions of a [gdsync.Core] and reports their results to it.
//
// One goroutine owns the core. It takes events from a bounded inbox; a few
// others carry out calls to the platform and to peers, each behind a bounded
// queue. What does not fit is dropped and counted: every message is repaired by
// a later digest.
//
// # Usage
//
//	s := &gdconfsync.Syncer{Name: "booking-1", Platform: client, Peers: peers, Seed: seed}
//	go s.Run(ctx)
//	...
//	if !s.MayDecide(time.Now()) {
//		return // no configuration yet, or paused and not confirmed
//	}
//	v := s.View()
//
// A process that was paused sees it at its first look: MayDecide compares the
// time with the last heartbeat of the core's goroutine, so a packet that is
// handled before that goroutine runs again is not decided on old beliefs.
package gdconfsync

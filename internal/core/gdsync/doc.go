// Package gdsync brings the fleet's processes to agree on one configuration.
//
// Each process runs one [Core]. The core is a pure decision machine: events go
// in, actions come out, the present time is an argument and the random source
// is a field. It opens no socket, starts no goroutine and reads no clock.
//
// The rules, in the order in which they bind:
//
//   - The highest valid [gdconf.Version] ever seen is in force. A process never
//     goes back, whatever the platform or a peer says.
//   - A configuration that fails its check is rejected, and the last good one
//     stays in force.
//   - Processes read the platform at random times whose rate, summed over the
//     fleet, is a constant. Whoever first sees a new version pushes it to a few
//     random peers at once, and so does each process at first sight.
//   - A periodic digest to one peer repairs what the pushes missed, and each
//     message that carries a version corrects the older of its two ends.
//   - A change with many values is read under an advisory [Lease]: the first
//     reader announces it, and the others hold off.
//   - A new process asks its peers first, and the platform only when no peer
//     answers. A process that was paused confirms its version with a peer
//     before it decides anything else, within a bounded time.
//
// # Usage
//
//	c := &gdsync.Core{Self: "booking-1", Rand: rnd}
//	do(c.Start(now))
//	for {
//		select {
//		case <-timer(c.NextTick()):
//			do(c.Tick(now))
//		case u := <-updates:
//			do(c.Pushed(now, u.from, u.update))
//		}
//	}
//
// The caller carries each [Action] out and reports its result as an event:
// [ReadPlatform] by PlatformRead, [ReadHosts] by Members or HostsFailed, [Pull]
// by Pushed, [Digest] by DigestAnswer. A lost message needs no event. What peers send comes
// in as Pushed, Digested, Leased and PeerVersion.
package gdsync

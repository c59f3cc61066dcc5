// Package gdsync replicates one configuration to all processes of a fleet.
//
// Each process runs one [Core]. The core is deterministic and does no I/O: it
// takes events and returns actions, the current time is an argument and the
// random source is a field. It opens no socket, starts no goroutine and reads
// no clock.
//
// The rules, the most important one first:
//
//   - A process activates the highest valid [gdconf.Version] that it has
//     received and never reverts to an older one, whatever the platform or a
//     peer sends.
//   - A configuration that fails validation is rejected, and the last valid one
//     stays active.
//   - Processes read the platform at random times, and the rate of reads, summed
//     over the fleet, is constant. A process that activates a new version
//     immediately pushes it to a few random peers.
//   - A periodic digest exchanged with one peer repairs what the pushes missed.
//     When any message shows that one side has an older version, that side is
//     brought up to date.
//   - A change with many values is read under an advisory [Lease]: the first
//     reader announces it, and the others wait for the result.
//   - A new process queries its peers first, and the platform only if no peer
//     replies. A process that was paused confirms its version with a peer,
//     within a bounded time, before it makes any other decision.
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
//			do(c.UpdateReceived(now, u.from, u.update))
//		}
//	}
//
// The caller performs each [Action] and reports its result as an event:
// [ReadPlatform] by PlatformRead, [ReadHosts] by HostsRead or HostsFailed,
// [Pull] by UpdateReceived, [Digest] by DigestReplyReceived. A lost message
// needs no event. Messages from peers are passed to UpdateReceived,
// DigestReceived, LeaseReceived and VersionReceived.
package gdsync

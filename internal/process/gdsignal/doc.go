// Package gdsignal receives SIGHUP from the first moment of a process.
//
// The default action of SIGHUP ends a process, and the Go runtime keeps that action until
// the program asks for the signal. A platform may signal a process that it has just
// started, so this package makes a program ignore SIGHUP before the Go runtime starts. A
// signal that is ignored then is not lost: the program reads its settings later. Without
// cgo the program is protected from the call of Hangups on only.
//
// # Usage
//
//	hangups := gdsignal.Hangups() // first in main, before the settings are read
//	...
//	select {
//	case <-hangups:
//		reload()
//	...
//	}
package gdsignal

import (
	"os"
	"os/signal"
	"syscall"
)

// Hangups returns a channel that receives SIGHUP. Signals that arrive while one waits are
// merged with it.
func Hangups() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

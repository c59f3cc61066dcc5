// Command standin-2 plays the cases of the second review: it starts the project's programs
// on loopback addresses, with stand-ins for the platform, the targets and the requesters.
//
// # Usage
//
//	TROUBLE=0 standin-2 CASE RECORD-FILE
//
// The exit code is 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// errBroken means that the rule of the case was broken.
var errBroken = errors.New("the rule was broken")

// cases are the cases by the name of their folder.
var cases = map[string]func(*world) error{
	"6":  silentTarget,
	"7":  changedRoutes,
	"8":  addedTargets,
	"9":  idleRestart,
	"10": coldUnregistered,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD-FILE")
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	record, err := os.Create(filepath.Clean(os.Args[2]))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	w, err := newWorld(dir, record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	err = cases[os.Args[1]](w)
	w.stop()
	switch {
	case err == nil:
		w.note("result", "the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		w.note("result", "the rule was broken")
		return exitBroken
	}
	w.note("result", "not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return exitNotRun
}

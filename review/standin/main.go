// Command standin plays the scripted cases of the review: it starts the project's own programs on
// loopback addresses, with stand-ins for the platform, the requesters and the targets, and checks
// one rule from outside.
//
// # Usage
//
//	TROUBLE=0 standin CASE RECORD
//
// It exits with 0 if the rule held, 1 if it was broken, and 2 if the case couldn't run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxRun ends a run that hangs.
const maxRun = 115 * time.Second

func main() { os.Exit(run()) }

func run() int {
	const usage, fault = "usage: standin CASE RECORD", 2
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, usage)
		return fault
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return fault
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Fprintln(os.Stderr, "standin: logs in", dir)
	}
	w, err := newWorld(ctx, dir, os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return fault
	}
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0") }()
	select {
	case err = <-done:
	case <-ctx.Done():
		err = ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clients.stopped = true
	w.stop()
	if err != nil {
		w.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return fault
	}
	w.log("%d breaches", len(w.broken))
	for _, b := range w.broken[:min(len(w.broken), 5)] {
		fmt.Println(b)
	}
	fmt.Printf("%d breaches\n", len(w.broken))
	return min(len(w.broken), 1)
}

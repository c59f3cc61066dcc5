// Command standin-3 runs the scripts of the third review: gdhost processes on loopback
// addresses, beside stand-ins for the store, the targets and the requesters.
//
// # Usage
//
//	standin-3 -case NAME -record FILE [-gdhost target/gdhost]
//
// With TROUBLE=0 in the environment the disruption is left out. The exit code is 0 if the rule
// held, 1 if it was broken, and 2 if the case could not run.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"time"
)

// A verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the cases by name. Each one runs in a world that has no processes yet.
var cases = map[string]func(w *world, trouble bool) (verdict, error){
	"foreign-entry": foreignEntry,
	"cold-restart":  coldRestart,
	"leaving":       leaving,
	"reuse":         reuse,
}

func main() {
	name := flag.String("case", "", "the case to run")
	record := flag.String("record", "", "the file for what was sent, answered and run")
	binary := flag.String("gdhost", "target/gdhost", "the program under test")
	flag.Parse()
	code, err := run(*name, *record, *binary)
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin-3:", err)
	}
	os.Exit(code)
}

func run(name, record, binary string) (int, error) {
	const heldCode, brokenCode, failedCode = 0, 1, 2
	c, ok := cases[name]
	if !ok {
		return failedCode, fmt.Errorf("case %q is not known", name)
	}
	w, err := newWorld(record, binary)
	if err != nil {
		return failedCode, err
	}
	defer w.close()
	trouble := os.Getenv("TROUBLE") != "0"
	w.do(func(time.Time) { w.record("case %s, disruption: %t", name, trouble) })
	v, err := c(w, trouble)
	if err == nil {
		err = w.processError()
	}
	if err != nil {
		return failedCode, errors.Join(err, w.flush())
	}
	w.do(func(time.Time) { w.record("verdict: broken=%t: %s", v.broken, v.text) })
	fmt.Printf("%s: broken=%t: %s\n", name, v.broken, v.text)
	if err := w.flush(); err != nil {
		return failedCode, err
	}
	if v.broken {
		return brokenCode, nil
	}
	return heldCode, nil
}

// sleep waits until the time since the start of the world.
func (w *world) sleepUntil(at time.Duration) { time.Sleep(time.Until(w.start.Add(at))) }

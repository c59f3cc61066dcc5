package main

import (
	"fmt"
	"os"
)

// clearLine moves the cursor to the start of the line and clears the line.
const clearLine = "\r\x1b[K"

// isTerminal reports whether the file is a terminal or another character device.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// printStep prints one step of the run, in place of the live line if there is one.
func printStep(text string) {
	if isTerminal(os.Stderr) {
		fmt.Fprint(os.Stderr, clearLine)
	}
	fmt.Fprintln(os.Stderr, "gdrig:", text)
}

// showLive replaces the terminal's last line.
func showLive(text string) { fmt.Fprint(os.Stderr, clearLine+"  "+text) }

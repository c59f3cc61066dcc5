package main

import (
	"fmt"
	"os"
)

// clearLine returns to the start of the terminal's line and empties it.
const clearLine = "\r\x1b[K"

// isTerminal reports whether the file is a terminal, or another device of
// characters.
func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

// progress prints one step for a person, in place of the live line.
func progress(words string) {
	if isTerminal(os.Stderr) {
		fmt.Fprint(os.Stderr, clearLine)
	}
	fmt.Fprintln(os.Stderr, "gdrig:", words)
}

// live replaces the terminal's last line.
func live(words string) { fmt.Fprint(os.Stderr, clearLine+"  "+words) }

package main

import (
	"github.com/pkg/errors"
)

// The exit codes of all commands.
const (
	exitOK          = 0
	exitFinding     = 1
	exitBadInput    = 2
	exitUnreachable = 3
)

// exitCodes is the section of each command's help on exit codes.
const exitCodes = `
Exit codes:
   0  success, without findings
   1  findings, which the output lists, or the failure of a process
   2  invalid input: a flag, an argument, a file or a document
   3  a process or the platform was unreachable or returned invalid data`

// exitError is an error with the exit code of the command.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// finding returns err with the exit code for findings.
func finding(err error) error { return withCode(exitFinding, err) }

// unreachable returns err with the exit code for an unreachable process or platform.
func unreachable(err error) error { return withCode(exitUnreachable, err) }

func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// codeOf returns the exit code of a command that returned err. Errors without an exit
// code are those of the command line and of files.
func codeOf(err error) int {
	var e *exitError
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &e):
		return e.code
	default:
		return exitBadInput
	}
}

package main

import (
	"github.com/pkg/errors"
)

// The exit codes of every command.
const (
	exitOK          = 0
	exitFinding     = 1
	exitBadInput    = 2
	exitUnreachable = 3
)

// exitCodes is the part of each command's help about exit codes.
const exitCodes = `
Exit codes:
   0  done, and nothing is wrong
   1  done, and something was found that the output names; or a process failed
   2  bad input: a wrong flag, argument, file or document
   3  a process or the platform could not be reached or read`

// exitError is an error with the exit code to which it leads.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// finding marks an error as something that was found.
func finding(err error) error { return withCode(exitFinding, err) }

// unreachable marks an error as one of reaching a process or the platform.
func unreachable(err error) error { return withCode(exitUnreachable, err) }

func withCode(code int, err error) error {
	if err == nil {
		return nil
	}
	return &exitError{code: code, err: err}
}

// codeOf returns the exit code of a command that ended with err. Errors that
// are not marked come from the command line and from files.
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

package cove

import (
	"errors"
	"fmt"
)

// Exit codes of the command.
const (
	ExitOK      = 0
	ExitError   = 1 // any other error, or no router answered
	ExitUsage   = 2 // wrong flags or arguments
	ExitPartial = 3 // some routers could not be queried
	ExitTicket  = 4 // the ticket has errors
	ExitTimeout = 5 // the command's time ran out
)

// exitError is an error that sets the exit code of the command.
type exitError struct {
	code int
	error
}

// exitErrorf formats an error that makes the command exit with code.
func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

// exitCode returns the exit code for an error, ExitError if it sets none.
func exitCode(err error) int {
	var e *exitError
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &e):
		return e.code
	default:
		return ExitError
	}
}

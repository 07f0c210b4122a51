package cove

import (
	"errors"
	"fmt"
)

// Exit codes of the command.
const (
	ExitOK      = 0
	ExitError   = 1
	ExitUsage   = 2
	ExitPartial = 3 // some routers were not reached
	ExitTicket  = 4 // the ticket has errors
	ExitTimeout = 5
)

// exitError is an error with the exit code that it leads to.
type exitError struct {
	code int
	error
}

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code, fmt.Errorf(format, args...)}
}

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

package main

import (
	"errors"
	"fmt"

	"github.com/hickorydock/hickorydock/internal/protocol/platform"
	"github.com/hickorydock/hickorydock/internal/protocol/settings"
)

// Exit codes of every subcommand.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
)

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the cause.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *exitError) Unwrap() error { return e.err }

func usageError(format string, args ...any) error {
	return &exitError{code: exitUsage, err: fmt.Errorf(format, args...)}
}

// exitCode maps the error of a subcommand to its exit code.
func exitCode(err error) int {
	var withCode *exitError
	var faults settings.Faults
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &withCode):
		return withCode.code
	case errors.As(err, &faults):
		return exitUsage
	case errors.Is(err, platform.ErrConflict):
		return exitConflict
	default:
		return exitFailed
	}
}

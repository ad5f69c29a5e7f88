package ctl

import (
	"fmt"
	"strings"
)

// ExitCode is the exit code of the client.
type ExitCode int

const (
	// ExitOK means that the command succeeded.
	ExitOK ExitCode = 0
	// ExitRefused means that the request was refused, or that the file has faults
	// or the audit trail was altered; nothing was changed.
	ExitRefused ExitCode = 1
	// ExitUsage means that the arguments, or the files that they name, are wrong;
	// nothing was sent.
	ExitUsage ExitCode = 2
	// ExitUnknown means that no control VM gave a decision, or that a response
	// couldn't be parsed or was altered: a change may have been accepted, and a
	// resend with the same change ID returns its outcome.
	ExitUnknown ExitCode = 3
	// ExitNotInForce means that the change was accepted but isn't yet in force at
	// every entry VM, or that this couldn't be checked.
	ExitNotInForce ExitCode = 4
)

// exitMeanings lists the exit codes and their meanings, as the help shows them.
var exitMeanings = []struct {
	code    ExitCode
	meaning string
}{
	{ExitOK, "done"},
	{ExitRefused, "refused"},
	{ExitUsage, "usage"},
	{ExitUnknown, "may have been accepted or no quorum"},
	{ExitNotInForce, "accepted but not yet in force everywhere"},
}

// exitHelp returns the line of the help that lists the exit codes.
func exitHelp() string {
	items := make([]string, len(exitMeanings))
	for i, m := range exitMeanings {
		items[i] = fmt.Sprintf("%d %s", m.code, m.meaning)
	}
	return "Exit codes: " + strings.Join(items, ", ") + "."
}

// exitError is an error with the exit code that the client returns for it.
type exitError struct {
	code ExitCode
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func failf(code ExitCode, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// unreadableReply returns the error for a response that can't be parsed, for
// example because a URL in -control isn't that of a control VM.
func unreadableReply(err error) error {
	return failf(ExitUnknown, "the response can't be parsed; -control must have the URLs of the control VMs' operator_listen: %w", err)
}

package ctl

import (
	"fmt"
	"strings"
)

// ExitCode is the status that the client ends with.
type ExitCode int

const (
	// ExitOK means that all was done.
	ExitOK ExitCode = 0
	// ExitRefused means that the request was refused; nothing was changed.
	ExitRefused ExitCode = 1
	// ExitUsage means that the arguments or the files they name are wrong;
	// nothing was sent.
	ExitUsage ExitCode = 2
	// ExitUnknown means that no control VM gave a decision: a change may have
	// been accepted, and a resend with the same change ID tells.
	ExitUnknown ExitCode = 3
	// ExitNotInForce means that the change was accepted but isn't in force at
	// every entry yet.
	ExitNotInForce ExitCode = 4
)

// exitMeanings are the codes in words, as the help shows them.
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

// exitHelp lists the codes in one line.
func exitHelp() string {
	items := make([]string, len(exitMeanings))
	for i, m := range exitMeanings {
		items[i] = fmt.Sprintf("%d %s", m.code, m.meaning)
	}
	return "Exit codes: " + strings.Join(items, ", ") + "."
}

// exitError is an error with the code that it ends the client with.
type exitError struct {
	code ExitCode
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

func failf(code ExitCode, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// unreadable is the error of a reply that isn't a control VM's.
func unreadable(err error) error {
	return failf(ExitUnknown, "the reply can't be read; -control needs the control VMs' operator_listen: %w", err)
}

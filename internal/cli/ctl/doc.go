// Package ctl is the operators' command-line client. It sends requests to any
// control VM over the operators' HTTP interface and fails over to the next one
// when one doesn't respond or can't decide. A resend of a change keeps the
// change's ID, so that a change whose response was lost is never applied twice.
//
// A control VM decides a request when it responds with success or with a problem
// below status 500. A change that may have been accepted is never reported as
// refused; the two have different exit codes.
package ctl

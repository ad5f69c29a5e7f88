// Package ctl is the operators' client at the command line. It talks to any
// control VM over the operators' HTTP interface, goes on to the next one when
// one fails, and keeps a change's ID when it resends, so that a change whose
// answer was lost is never made twice.
//
// A change that may have been accepted is never reported as refused: the exit
// codes tell the two apart.
package ctl

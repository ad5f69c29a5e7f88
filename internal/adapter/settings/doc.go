// Package settings reads and checks the YAML settings files of control VMs and
// entry VMs.
//
// Settings are static and belong to one process: they contain what it needs before
// it can contact the others, such as addresses and its data folder. What operators
// configure for the whole system is in the document instead, which is distributed
// to all VMs.
//
// Every error is an *Error that names the file and, where they are known, the line
// and the field.
package settings

// Package porttest provides in-memory fakes of interfaces in package port for
// the tests of adapters.
package porttest

// Package porttest holds in-memory stand-ins of the interfaces in package port
// for tests of the adapters.
package porttest

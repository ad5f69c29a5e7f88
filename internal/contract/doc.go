// Package contract contains tests of the behavior of libraries on which the system's
// guarantees depend, so that an upgrade that changes this behavior is detected.
package contract

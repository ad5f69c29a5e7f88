// Package testlink simulates a faulty network between two processes, for tests.
//
// A Link relays TCP connections on loopback. It can delay bytes, drop all bytes in
// one direction or both, and reset connections after a number of bytes. It can also
// drop bytes on established connections while new ones work, as a middlebox does
// after losing its connection state.
//
// The dialer is the process that dials the Link; the target is the process to which
// the Link relays.
package testlink

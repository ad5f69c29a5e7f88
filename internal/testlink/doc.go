// Package testlink simulates a faulty network between two processes, for tests.
//
// A Link relays TCP connections on loopback. It can delay bytes, drop all bytes in
// one direction or both, drop them on established connections only while new ones
// work, as a middlebox does that lost its connection state, and reset connections
// after a number of bytes.
//
// The dialer is the process that dials the Link; the target is the process to which
// the Link relays.
package testlink

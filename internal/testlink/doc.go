// Package testlink is a stand-in for the network between two processes, for
// tests.
//
// A Link relays TCP connections on loopback. It can delay them, drop their bytes
// in one direction or both, let established connections go silent while new ones
// work, as a middlebox does that lost track of them, and break them with a reset
// at a byte offset.
package testlink

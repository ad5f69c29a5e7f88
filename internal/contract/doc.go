// Package contract has tests that show how the libraries behave at which the
// system's promises could break, so that an upgrade that changes it is noticed.
package contract

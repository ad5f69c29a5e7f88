// Package port holds the interfaces and messages between the decisions in
// internal/core, the wiring in internal/app and the adapters around them.
package port

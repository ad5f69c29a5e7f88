// Package fleet decides which orders of operators change the system's state, and
// defines that state: the routes, the services, the limits on clients and the
// evacuated failure domains. Gateways and controllers use it.
//
// The package has no I/O, goroutine or clock.
package fleet

// Package fleet holds what operators order and what every VM of the system
// must know of it: the routes, the services, the limits on clients and the
// failure domains that are evacuated.
//
// The package has no I/O, goroutine or clock.
package fleet

// Package systemtest tests the guarantees of the whole system under faults. It
// starts real processes of the binary on loopback and injects the faults of the
// matrix in docs/PROOFS.md. It contains only tests.
//
// Every connection between two VMs goes through a mesh of relays in the test
// process. The mesh can drop the traffic from one VM to another, or make
// established connections silent: they stay open but deliver nothing. Processes
// are killed, frozen and restarted by signals. Endpoints and callers run in the
// test process, which counts every execution of a request.
package systemtest

// Package systemtest proves the promises of the whole system on real processes
// of the one binary, on loopback, under faults: the rows of the fault matrix in
// docs/PROOFS.md. It holds tests only.
//
// Every connection between two VMs runs through a mesh of relays in the test
// process, which can cut or silence the way from one VM to another. Processes
// are killed, frozen and restarted by signals. Endpoints and callers run in the
// test process, where every run of a request is counted.
package systemtest

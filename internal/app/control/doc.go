// Package control runs the node of a control VM: a member of the replicated
// register with its disk, its start and repair, the operators' ConfigStore on
// top of it, and the service from which entries pull the document.
//
// A node answers the register's messages only after its state is durable. When
// its disk fails it gives no more answers, and Run returns.
package control

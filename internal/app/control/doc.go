// Package control runs the node of a control VM. A node is one member of the
// group of 1, 3 or 5 control VMs that replicate the register, which holds the
// operators' document. The node
//
//   - stores the member's state on disk and answers the register's messages,
//   - obtains a vote for the member at its first start, and again by a repair
//     after the disk was lost or an older image of it was restored,
//   - implements port.ConfigStore, through which operators read and change the
//     document, and
//   - serves the document to the entries, which send status reports with each
//     fetch.
//
// A node answers a message of the register only after the state that the answer
// depends on is durable. When saving the state fails, it answers every further
// message of the register with that error, and Run returns the error.
package control

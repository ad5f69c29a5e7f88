// Package operatorhttp serves the operators' interface over HTTP: the document,
// its validation and diff, drains, the audit trail, the state of the system and
// the console. It decides nothing about versions: that is port.ConfigStore's.
//
// Errors are problem documents (RFC 9457) whose code is one of the Code
// constants. What reads or changes the document needs the bearer token (RFC
// 6750) of an operator in the document in force.
package operatorhttp

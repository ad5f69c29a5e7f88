// Package operatorhttp authenticates operators, validates their changes and
// serves their HTTP interface: the document, its validation and diff, drains,
// quarantine lifts, the audit trail, the status of the system and the console.
// Which change becomes the next version is decided by port.ConfigStore.
//
// The document is the whole configuration of the system as YAML text. The
// register stores it, replicated over the control VMs. The document in force is
// the newest version in the register.
//
// Errors are problem documents (RFC 9457) whose code is one of the Code
// constants. Health, readiness and status need no token, and the console has
// sessions of its own. All other requests need the bearer token (RFC 6750) of an
// operator in the document in force or, while there is no document, the bootstrap
// token.
package operatorhttp

// Package cli implements the command line of the binary: a subcommand for each
// kind of process and for each kind of user.
//
//	sassafrasreach control -settings FILE    a control VM
//	sassafrasreach entry   -settings FILE    an entry VM
//	sassafrasreach controller ...            a controller (deployment on the platform)
//	sassafrasreach gateway ...               a gateway (deployment on the platform)
//	sassafrasreach ctl     ...               the operators' client
//	sassafrasreach lookup  ...               which entry VMs to use for a service
//	sassafrasreach call    ...               one request, as a caller sends it
//	sassafrasreach standin ...               a small endpoint for tests
//
// Exit codes: 0 success, 1 failure, 2 wrong usage or settings. ctl has further
// codes, which its help lists.
package cli

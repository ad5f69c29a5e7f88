// Package cli is the command line of the one binary: a subcommand for each
// role and for each kind of user.
//
//	sassafrasreach control -settings FILE    a control VM
//	sassafrasreach entry   -settings FILE    an entry VM
//	sassafrasreach ctl     ...               operators
//	sassafrasreach lookup  ...               which entries to use
//	sassafrasreach call    ...               one request, as a caller sends it
//	sassafrasreach standin ...               a small endpoint for trials
//
// Exit codes: 0 success, 1 failure, 2 wrong usage or settings. ctl has more,
// told by its own help.
package cli

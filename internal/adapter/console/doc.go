// Package console is the operators' web page: forms whose output is the one
// document. The pages are rendered on the server and need no script.
//
// The whole draft travels in the form, together with the version that it was
// opened at and the ID of the change. The server keeps no draft: a draft
// survives a restart, and two windows don't mix. A submission from an older
// version is a conflict, so nothing is overwritten; a form that is sent twice
// is one change.
//
// Operators sign in with their token. The session is kept in memory under a
// random ID in a cookie that scripts and other sites can't use; each change
// also needs the session's form token, and the operator's token is judged anew
// on each request.
package console

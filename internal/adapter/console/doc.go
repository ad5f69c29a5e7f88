// Package console serves the operators' web pages: forms to edit the document,
// which holds the whole configuration, a review of the changes, and the status of
// the system. The pages are rendered on the server and need no script.
//
// A draft is a document that an operator is editing. The form holds the whole
// draft, the version of the document that it was made from, and the ID of the
// change. The server stores no draft, so two browser windows don't affect each
// other. Submitting a draft of an older version is a conflict, so nothing is
// overwritten; a form that is sent twice makes one change.
//
// Operators sign in with their token. The session is kept in memory under a
// random ID, which is in a cookie that scripts and other sites can't use. Each
// form also needs the session's form token, and the operator's token is checked
// again on each request. A restart of the server ends all sessions, and the forms
// that were rendered for them are refused.
package console

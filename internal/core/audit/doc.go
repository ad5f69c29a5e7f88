// Package audit chains the records of the audit trail by hash, so that a check
// detects records that were changed, reordered or removed from between others.
package audit

// Package audit chains the records of the audit trail by hash, so that a
// changed, removed or reordered record is noticed.
package audit

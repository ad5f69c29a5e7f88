// Package document defines the operators' document: the whole truth of what
// the system should do. It holds the types, the strict YAML reader, the
// validation that reports every fault at once, and the diff of two documents.
package document

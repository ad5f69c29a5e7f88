// Package document defines the operators' document, the complete desired
// configuration of the system: regions, places, links, services, rules, drains
// and operators. It contains the types, the strict YAML reader, the validation,
// which reports all faults at once, the diff of two documents, and the traffic
// that has to move when one document replaces another.
package document

// Package settings reads the static settings of the roles from YAML files: what
// a process must know before it can learn anything from the others. Whatever
// operators decide for the whole system stands in the document instead.
//
// Every error is an *Error that names the file, the line and the field.
package settings

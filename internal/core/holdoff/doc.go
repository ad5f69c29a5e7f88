// Package holdoff decides to which endpoints a gateway sends nothing because they
// said so in an answer to it.
//
// It holds for this gateway alone and also while no dispatcher knows of the answer:
// when the dispatcher has changed, or a slot was granted before. An incarnation of an
// endpoint that said that it leaves gets nothing more, and one that asked for a pause
// gets nothing until the pause is over.
//
// The package does no I/O, starts no goroutine and reads no clock.
package holdoff

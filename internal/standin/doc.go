// Package standin is a small endpoint for trials: it announces itself, runs a
// bounded number of requests at once, sheds what is over that, and leaves
// cleanly. It speaks the endpoints' published protocol and nothing else.
package standin

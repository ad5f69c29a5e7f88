// Package standin is a small endpoint for trials. It announces itself, runs a limited
// number of requests at once, sheds the others (refuses them without running them),
// and shuts down gracefully. It uses only the published protocol of endpoints.
package standin

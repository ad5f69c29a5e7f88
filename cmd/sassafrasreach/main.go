// Command sassafrasreach runs the processes of a system that steers requests from
// callers to endpoints across failure domains and regions, and its tools for
// operators and callers.
package main

import (
	"context"
	"os"

	"sassafrasreach/internal/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

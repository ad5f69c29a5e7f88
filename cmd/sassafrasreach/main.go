// Command sassafrasreach runs the processes of the traffic steering system, which
// route requests from callers to endpoints across failure domains and regions, and
// the clients of its operators and callers.
package main

import (
	"context"
	"os"

	"sassafrasreach/internal/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

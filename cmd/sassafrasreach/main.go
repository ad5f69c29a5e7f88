// Command sassafrasreach steers requests from callers to endpoints across
// failure domains and regions.
package main

import (
	"context"
	"os"

	"sassafrasreach/internal/cli"
)

func main() {
	os.Exit(cli.Main(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

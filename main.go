// Command plumpitch is a load balancer for services whose load shifts within
// milliseconds. Each subcommand stands in a file of its own.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "plumpitch: no command given")
	os.Exit(2)
}

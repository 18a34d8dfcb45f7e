// Command laburnumlab runs test fleets, load tests, experiments, and stand-ins for
// the platform's services and for endpoints.
package main

import (
	"os"

	"laburnumstack.org/laburnum/internal/cmds"
)

// commands holds the commands of the program. Each command registers itself in an
// init function.
var commands = cmds.New("laburnumlab")

func main() {
	os.Exit(commands.Run(os.Args[1:]))
}

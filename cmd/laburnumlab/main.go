// Command laburnumlab runs test fleets, stand-ins for the platform's services
// and for endpoints, loads and experiments.
package main

import (
	"os"

	"laburnumstack.org/laburnum/internal/cmds"
)

// commands holds all commands. The file of each command registers it.
var commands = cmds.New("laburnumlab")

func main() {
	os.Exit(commands.Run(os.Args[1:]))
}

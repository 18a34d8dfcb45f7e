// Command laburnumctl is the command line tool for operators.
package main

import (
	"os"

	"laburnumstack.org/laburnum/internal/cmds"
)

// commands holds all commands. The file of each command registers it.
var commands = cmds.New("laburnumctl")

func main() {
	os.Exit(commands.Run(os.Args[1:]))
}

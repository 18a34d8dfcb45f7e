// Command laburnumctl is the command line tool for operators.
package main

import (
	"os"

	"laburnumstack.org/laburnum/internal/cmds"
)

// commands holds the commands of the program. Each command registers itself in an
// init function.
var commands = cmds.New("laburnumctl")

func main() {
	os.Exit(commands.Run(os.Args[1:]))
}

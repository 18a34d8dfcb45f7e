// Command laburnumctl is the operators' tool.
package main

import (
	"os"

	"laburnumstack.org/laburnum/internal/cmds"
)

// commands is filled by the files of the commands.
var commands = cmds.New("laburnumctl")

func main() {
	os.Exit(commands.Run(os.Args[1:]))
}

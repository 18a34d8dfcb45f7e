// Command laburnumlab runs stand-ins, loads and experiments for laburnumstack.
package main

import (
	"os"

	"laburnumstack.org/laburnum/internal/cmds"
)

// commands is filled by the files of the commands.
var commands = cmds.New("laburnumlab")

func main() {
	os.Exit(commands.Run(os.Args[1:]))
}

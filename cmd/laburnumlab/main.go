// Command laburnumlab runs stand-ins, loads and experiments for laburnumstack.
package main

import (
	"os"

	"laburnumstack.org/laburnum/internal/cli"
)

// commands is filled by the files of the commands.
var commands = cli.New("laburnumlab")

func main() {
	os.Exit(commands.Run(os.Args[1:]))
}

// Command laburnumctl is the operators' tool.
package main

import (
	"os"

	"laburnumstack.org/laburnum/internal/cli"
)

// commands is filled by the files of the commands.
var commands = cli.New("laburnumctl")

func main() {
	os.Exit(commands.Run(os.Args[1:]))
}

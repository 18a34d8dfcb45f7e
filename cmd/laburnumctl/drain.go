package main

import "fmt"

// Drain starts a graceful shutdown of one node.
type Drain struct{}

func init() {
	commands.Add("drain", "start a graceful shutdown of the node at the first --admin address", &Drain{})
}

// Execute drains the node at the first address. Unlike other commands, it doesn't
// fall back to the next address, which belongs to another node.
func (c *Drain) Execute(args []string) error {
	if err := noArgs(args); err != nil {
		return err
	}
	cl := opts.client(opts.addresses()[0])
	if err := cl.Drain(); err != nil {
		return err
	}
	fmt.Printf("%s drains\n", cl.Address)
	return nil
}

package main

import "fmt"

// Drain starts a planned stop of one node.
type Drain struct{}

func init() {
	commands.Add("drain", "start a planned stop of the node at the first --admin address", &Drain{})
}

// Execute drains the node at the first address. Unlike other commands it tries
// no further address, since it would then stop another node.
func (c *Drain) Execute(args []string) error {
	if err := noArgs(args); err != nil {
		return err
	}
	cl := nodes.client(nodes.Admins[0])
	if err := cl.Drain(); err != nil {
		return err
	}
	fmt.Printf("%s drains\n", cl.Address)
	return nil
}

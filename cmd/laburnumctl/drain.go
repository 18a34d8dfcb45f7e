package main

import "fmt"

// Drain begins a planned stop.
type Drain struct{}

func init() {
	commands.Add("drain", "begin a planned stop of the node at the first --admin", &Drain{})
}

// Execute asks one node to stop; no other is tried in its place.
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

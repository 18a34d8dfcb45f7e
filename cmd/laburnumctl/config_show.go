package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"laburnumstack.org/laburnum/pkg/admin"
)

// ConfigShow prints the configuration in force.
type ConfigShow struct{}

func init() {
	commands.Add("config show", "print the configuration in force", &ConfigShow{})
}

// Execute prints the version in force and its document.
func (c *ConfigShow) Execute(args []string) error {
	return show(args, (*admin.Client).Config, func(w *tabwriter.Writer, v admin.Config) {
		var b bytes.Buffer
		json.Indent(&b, v.Document, "", "  ")
		fmt.Fprintf(w, "version %d\n%s\n", v.Version, b.String())
	})
}

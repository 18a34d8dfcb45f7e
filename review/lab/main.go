//go:build review

// Command lab runs the scripts of the cases of the review. It exits with 0 if the rule held, with
// 1 if it was broken, and with 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// scripts holds what runs each case. They return in which ways the rule was broken.
var scripts = map[string]func(*world) (broken []string, err error){
	"leaving": runLeaving,
	"tenants": runTenants,
	"revoked": runRevoked,
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	const failed, couldNotRun = 1, 2
	if len(args) != 2 || scripts[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE FOLDER")
		return couldNotRun
	}
	dir, err := filepath.Abs(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	w, err := newWorld(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer w.close()
	broken, err := scripts[args[0]](w)
	switch {
	case err != nil:
		w.line("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "the case couldn't run:", err)
		return couldNotRun
	case len(broken) > 0:
		for _, b := range broken {
			w.line("broken: %s", b)
			fmt.Println("broken:", b)
		}
		return failed
	}
	w.line("the rule held")
	fmt.Println("the rule held")
	return 0
}

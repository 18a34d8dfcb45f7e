package main

import (
	"testing"

	"github.com/shoenig/test"
)

func TestExitCodes(t *testing.T) {
	cases := []struct {
		name string
		args []string
		code int
	}{
		{"nothing given", nil, exitUsage},
		{"unknown flag", []string{"--nmae", "a"}, exitUsage},
		{"unexpected argument", []string{"more"}, exitUsage},
		{"help", []string{"--help"}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			test.Eq(t, c.code, run(c.args))
		})
	}
}

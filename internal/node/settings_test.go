package node_test

import (
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/node"
)

func TestSettings(t *testing.T) {
	good := node.Settings{
		Name: "n", DataCentre: "a", Listen: "10.0.0.1:80", Admin: "10.0.0.1:81", Peer: "10.0.0.1:82",
		Log: "10.0.0.2:80", VMs: "10.0.0.2:81", AdminToken: "12345678",
		LogRetention: 72 * time.Hour, SnapshotEvery: time.Minute, LogLevel: "info",
	}
	must.SliceEmpty(t, good.Validate())
	cases := []struct {
		name   string
		change func(*node.Settings)
		flags  []string
	}{
		{"name with a space", func(s *node.Settings) { s.Name = "a b" }, []string{"--name"}},
		{"no port", func(s *node.Settings) { s.Listen = "10.0.0.1" }, []string{"--listen"}},
		{"short token", func(s *node.Settings) { s.AdminToken = "1234" }, []string{"--admin-token"}},
		{"log retention too short for the snapshots", func(s *node.Settings) { s.LogRetention = 2 * time.Minute }, []string{"--log-retention"}},
		{"unknown log level", func(s *node.Settings) { s.LogLevel = "loud" }, []string{"--log-level"}},
		{"three invalid settings", func(s *node.Settings) { s.DataCentre, s.Log, s.Peers = "", "", []string{"x"} }, []string{"--data-centre", "--log", "--peers"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := good
			c.change(&s)
			bad := s.Validate()
			must.Len(t, len(c.flags), bad)
			for i, f := range c.flags {
				test.True(t, strings.HasPrefix(bad[i], f+":"), test.Sprint(bad[i]))
			}
		})
	}
}

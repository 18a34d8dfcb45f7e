package node

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Settings configures a node. Each field is a flag and an environment variable.
type Settings struct {
	Name       ident.NodeName   `long:"name" env:"LABURNUM_NAME" description:"name of this node, unique in the fleet"`
	DataCentre ident.DataCentre `long:"data-centre" env:"LABURNUM_DATA_CENTRE" description:"data centre of this node's VM"`
	Listen     string           `long:"listen" env:"LABURNUM_LISTEN" default:"127.0.0.1:8080" description:"address for callers"`
	Admin      string           `long:"admin" env:"LABURNUM_ADMIN" default:"127.0.0.1:8081" description:"address for operators"`
	Peer       string           `long:"peer" env:"LABURNUM_PEER" default:"127.0.0.1:8082" description:"address for other nodes"`
	Peers      []string         `long:"peers" env:"LABURNUM_PEERS" env-delim:"," description:"peer address of another node, repeatable"`
	Log        string           `long:"log" env:"LABURNUM_LOG" description:"address of the platform's log"`
	VMs        string           `long:"vms" env:"LABURNUM_VMS" description:"address of the platform's VM list"`
	AdminToken string           `long:"admin-token" env:"LABURNUM_ADMIN_TOKEN" description:"token that operators present"`

	LogRetention  time.Duration `long:"log-retention" env:"LABURNUM_LOG_RETENTION" default:"72h" description:"how long the platform's log keeps records"`
	SnapshotEvery time.Duration `long:"snapshot-every" env:"LABURNUM_SNAPSHOT_EVERY" default:"10m" description:"time between configuration snapshots"`
	DrainDelay    time.Duration `long:"drain-delay" env:"LABURNUM_DRAIN_DELAY" default:"5s" description:"how long a node that shuts down waits for the load balancer to notice, while it still serves"`
	LogLevel      string        `long:"log-level" env:"LABURNUM_LOG_LEVEL" default:"info" description:"minimum level of log lines: debug, info, warn or error"`
}

// minTokenLength is the minimum length of Settings.AdminToken in bytes.
const minTokenLength = 8

var logLevels = []string{"debug", "info", "warn", "error"}

// Validate returns one line for each invalid setting.
func (s *Settings) Validate() []string {
	var bad []string
	check := func(ok bool, flag, why string) {
		if !ok {
			bad = append(bad, fmt.Sprintf("--%s: %s", flag, why))
		}
	}
	check(s.Name != "" && !strings.ContainsAny(string(s.Name), " \t\n/"), "name", "must be a name without spaces or slashes")
	check(s.DataCentre != "", "data-centre", "must not be empty")
	for _, a := range []struct{ flag, addr string }{
		{"listen", s.Listen}, {"admin", s.Admin}, {"peer", s.Peer}, {"log", s.Log}, {"vms", s.VMs},
	} {
		check(isAddress(a.addr), a.flag, fmt.Sprintf("%q must be an address like 10.0.0.7:8080", a.addr))
	}
	for _, p := range s.Peers {
		check(isAddress(p), "peers", fmt.Sprintf("%q must be an address like 10.0.0.7:8082", p))
	}
	check(len(s.AdminToken) >= minTokenLength, "admin-token", fmt.Sprintf("must have at least %d characters", minTokenLength))
	check(s.SnapshotEvery > 0, "snapshot-every", "must be above zero")
	check(s.LogRetention > 3*s.SnapshotEvery, "log-retention", "must be more than three times --snapshot-every")
	check(slices.Contains(logLevels, s.LogLevel), "log-level", "must be one of "+strings.Join(logLevels, ", "))
	check(s.DrainDelay >= 0, "drain-delay", "must not be negative")
	return bad
}

// isAddress reports whether a is a host followed by a port, which is a number or
// the name of a TCP service.
func isAddress(a string) bool {
	host, port, err := net.SplitHostPort(a)
	if err != nil || host == "" || port == "" {
		return false
	}
	_, err = net.LookupPort("tcp", port)
	return err == nil
}

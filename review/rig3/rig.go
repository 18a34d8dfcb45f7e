//go:build review3

// Command rig3 runs the script cases of the third review: nodes as the deploy file starts them, as
// separate processes on loopback addresses, with stand-ins of the store, servers and clients in
// this process.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

const (
	host = "rig.example"
	// Bounds of the small deployments.
	revokeTime   = 5 * time.Second
	graceTime    = 8 * time.Second
	applyTime    = 2 * time.Second
	stableWindow = 3 * time.Second
)

// recorder writes record.txt.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// rig is what a case uses.
type rig struct {
	*recorder
	trouble bool
	dir     string
	store   *store
	version int
	nodes   []*node
	servers []*server
}

// config is the configuration that the operator writes.
type config struct {
	Version  int              `json:"version"`
	Routes   []map[string]any `json:"routes"`
	Services []map[string]any `json:"services"`
	Limits   map[string]any   `json:"limits"`
	Tenants  []map[string]any `json:"tenants"`
}

// newConfig returns the next version of a configuration with the given keys of one tenant.
func (r *rig) newConfig(routes []map[string]any, keys ...string) []byte {
	r.version += 3
	c := config{
		Version: r.version, Routes: routes,
		Services: []map[string]any{{"name": "app", "health_path": "/health", "connection_limit": 264, "protocol": "h1", "tls": false}},
		Limits:   map[string]any{"header_bytes": 16384, "body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		Tenants:  []map[string]any{{"name": "tenant", "api_keys": keys, "priority": 1}},
	}
	b, err := json.Marshal(c)
	must(err)
	return b
}

// route returns a route to the service of the rig.
func route(name, kind string, timeout time.Duration) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": timeout.Milliseconds(),
		"target_latency_ms": 300, "priority": 1, "service": "app", "attempts": 2, "public": false,
	}
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// node is a process of the product.
type node struct {
	rig      *rig
	name, ip string
	zone     string
	port     int
	seeds    []string
	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	started  bool
}

func (n *node) address() string { return net.JoinHostPort(n.ip, fmt.Sprint(n.port)) }

// start starts the process with a settings file like that of a small deployment.
func (n *node) start() {
	path := filepath.Join(n.rig.dir, n.name+".yaml")
	must(os.WriteFile(path, []byte(n.settings()), 0o600))
	log, err := os.OpenFile(filepath.Join(n.rig.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	defer log.Close()
	cmd := exec.Command("target/laburnumgw", "--metrics-port", fmt.Sprint(n.port+9))
	cmd.Env = append(os.Environ(), "LABURNUMSTACK_BOOT="+path)
	cmd.Stdout, cmd.Stderr = log, log
	must(cmd.Start())
	ended := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.ended, n.started = cmd, ended, true
	n.mu.Unlock()
	go func() {
		err := cmd.Wait()
		n.rig.printf("%s has ended: %v", n.name, err)
		close(ended)
	}()
	n.rig.printf("%s starts", n.name)
}

func (n *node) signal(s syscall.Signal) {
	n.rig.printf("%s gets %v", n.name, s)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	<-n.ended
}

func (n *node) settings() string {
	seeds := ""
	for _, s := range n.seeds {
		seeds += fmt.Sprintf("  - \"%s:%d\"\n", s, n.port+2)
	}
	return fmt.Sprintf(`node_name: "%s"
role: "node"
machine_class: "front"
serves:
  - "front"
  - "control"
ip: "%s"
zone: "%s"
region: "sul-br"
zones:
  poa-a: "sul-br"
  poa-b: "sul-br"
  canoas-c: "sul-br"
listen:
  front: "%s:%d"
  ready: "%s:%d"
  control: "%s:%d"
internal_ports:
  - %d
  - %d
seeds:
%sbootstrap: %v
include_in_tolerance: false
limits:
  cpu_share: 0.4
  cores: 1
  memory_mb: 284
  file_descriptors: 4200
  link_mbps: 1000.0
  disk_mb: 0
data_directory: null
discovery: "platform"
entry: "virtual_ip"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "spans"]
tolerance: {machines: 2, zones: 0, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, stable_window_ms: 3000, ack_ms: 4000, catch_up_s: 4, drain_ms: 2000, grace_s: 8, loss_slack_ms: 200, config_apply_ms: 2000, rollback_slack_ms: 250, stretch_max_ms: 5000, strict_revocation: true, revoke_ms: 5000, budget_ratio: 0.2, budget_window_s: 10, budget_extra: 102, recovery_s: 12, pass_ms: 120, retry_after_s: 0, stall_ms: 1500, hold_max_ms: 20000, free_ms: 4000, idle_max_ms: 9000}
platform: {address: "%s", form: "log", writes_per_s: 400, reads_per_s: 2000, parts: 8, append_ms: 4.0, partition_mb_s: 20.0, read_mb_s: 80.0, record_bytes: 262144, call_bytes: 2097152, keep_s: 20, partition_mb: 200, ttl_min_ms: 1000}
`, n.name, n.ip, n.zone, n.ip, n.port, n.ip, n.port+1, n.ip, n.port+2, n.port+3, n.port+6, seeds, !n.started, n.rig.store.addr)
}

// isReady reports whether the readiness check of the platform succeeds.
func (n *node) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get(fmt.Sprintf("http://%s:%d/laburnumstack/readiness", n.ip, n.port+1))
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// startNodes starts nodes and waits until they are ready.
func (r *rig) startNodes(count int) error {
	zones := []string{"poa-a", "poa-b", "canoas-c"}
	base := fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), rand.IntN(250))
	var ips []string
	for i := range count {
		ips = append(ips, base+fmt.Sprint(10+i))
	}
	port := freePort(ips)
	for i, ip := range ips {
		n := &node{rig: r, name: fmt.Sprintf("front-%s-%d", zones[i%3], 1+i/3), ip: ip, zone: zones[i%3], port: port, seeds: ips[:min(3, len(ips))]}
		r.nodes = append(r.nodes, n)
		n.start()
	}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range r.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == count {
			r.printf("all %d nodes are ready", count)
			return nil
		}
	}
	return fmt.Errorf("nodes are not ready")
}

// freePort returns the first of ten ports that are free at all addresses.
func freePort(ips []string) int {
	for {
		port := 20000 + 10*rand.IntN(1000)
		ok := true
		for _, ip := range ips {
			for i := range 10 {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port+i))
				if err != nil {
					ok = false
					continue
				}
				l.Close()
			}
		}
		if ok {
			return port
		}
	}
}

// close ends all processes that the rig started.
func (r *rig) close() {
	for _, n := range r.nodes {
		n.mu.Lock()
		n.cmd.Process.Signal(syscall.SIGCONT)
		n.cmd.Process.Kill()
		n.mu.Unlock()
		<-n.ended
	}
}

var cases = map[string]func(*rig) (broken bool, err error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig3 CASE RECORD")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	r := &rig{recorder: &recorder{file: file, began: time.Now()}, trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	if r.store, err = newStore(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	broken, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.printf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		r.printf("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	r.printf("the rule held")
	fmt.Println("held")
	return exitHeld
}

func indent(lines []string) string { return "    " + strings.Join(lines, "\n    ") }

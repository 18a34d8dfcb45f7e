//go:build review2

// Command rig2 starts nodes of the deploy file as processes on loopback addresses, with stand-ins
// of the store, the servers and the clients around them, and checks one rule. Each case of the
// second review is one of its arguments; see review/build-2.sh.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"math/rand/v2"

	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/platform/stand"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// program and its arguments are those of deploy/system.toml.
var program = []string{"target/laburnumgw", "--metrics-port", "9464"}

const metricsPort = 9464

// zones are the data centres of the small deployment, with their number of machines.
var zones = []struct {
	name  string
	count int
}{{"poa-a", 3}, {"poa-b", 2}, {"canoas-c", 2}}

// node is one machine of the system.
type node struct {
	name, zone, ip string
	front, ready   string
	settings, log  string
	cmd            *exec.Cmd
	ended          chan struct{}
	// exits counts the ends of the process that the rig did not cause.
	exits int

	// rig.mu guards what follows. expected is set while the rig stops the process, out while
	// the platform sends no new connections. disturbedAt is when it was last stopped or started.
	expected, out bool
	disturbedAt   time.Time
}

// rig is one run of a case.
type rig struct {
	trouble bool
	prefix  string
	dir     string
	store   *stand.Store
	storeAt string
	nodes   []*node
	began   time.Time

	mu      sync.Mutex
	record  *os.File
	lines   int
	ending  bool
	servers []*server
	// processes are the servers that run as processes.
	processes []*serverProcess
	// sentTo holds the machine to which each attempt was sent.
	sentTo map[string]*node
}

// note writes a line to record.txt, with the seconds since the start.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// fail ends the run as one that could not be made.
func (r *rig) fail(format string, args ...any) {
	r.note("CANNOT RUN: "+format, args...)
	fmt.Printf("cannot run: "+format+"\n", args...)
	r.end()
	os.Exit(exitNoRun)
}

func newRig(folder string) *rig {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(exitNoRun)
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(exitNoRun)
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", dir: dir, record: f, began: time.Now(), store: &stand.Store{}, sentTo: map[string]*node{}}
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-c
		r.fail("interrupted")
	}()
	r.note("trouble %v", r.trouble)
	return r
}

// start starts the store and the machines.
func (r *rig) start() {
	r.pickPrefix()
	l, err := net.Listen("tcp", r.prefix+".10:0")
	if err != nil {
		r.fail("store: %v", err)
	}
	r.storeAt = l.Addr().String()
	go http.Serve(l, r.store)
}

// startNodes starts all machines and waits until they say that they are ready.
func (r *rig) startNodes() {
	port := r.freePort()
	i := 0
	var seeds []string
	for _, z := range zones {
		for k := range z.count {
			n := &node{name: fmt.Sprintf("front-%s-%d", z.name, k+1), zone: z.name, ip: fmt.Sprintf("%s.%d", r.prefix, 40+i)}
			n.front, n.ready = fmt.Sprintf("%s:%d", n.ip, port), fmt.Sprintf("%s:%d", n.ip, port+1)
			n.settings, n.log = filepath.Join(r.dir, n.name+".yaml"), filepath.Join(r.dir, n.name+".log")
			if k == 0 {
				seeds = append(seeds, fmt.Sprintf("%s:%d", n.ip, port+2))
			}
			r.nodes = append(r.nodes, n)
			i++
		}
	}
	for _, n := range r.nodes {
		r.writeSettings(n, port, seeds)
		r.startNode(n)
	}
	for _, n := range r.nodes {
		r.awaitReady(n, 15*time.Second)
	}
	r.note("all machines are ready")
}

// bounds are those of the small deployment in SYSTEM.md.
const bounds = `bounds:
  seed_lag_s: 3
  reuse_after_s: 2
  stable_window_ms: 3000
  ack_ms: 4000
  catch_up_s: 4
  drain_ms: 2000
  grace_s: 8
  loss_slack_ms: 200
  config_apply_ms: 2000
  rollback_slack_ms: 250
  stretch_max_ms: 5000
  strict_revocation: true
  revoke_ms: 5000
  budget_ratio: 0.2
  budget_window_s: 10
  budget_extra: 102
  recovery_s: 12
  pass_ms: 120
  retry_after_s: 0
  stall_ms: 1500
  hold_max_ms: 20000
  free_ms: 4000
  idle_max_ms: 9000
`

func (r *rig) writeSettings(n *node, port int, seeds []string) {
	var b strings.Builder
	fmt.Fprintf(&b, "node_name: %q\nrole: \"node\"\nmachine_class: \"front\"\nserves:\n  - \"front\"\n  - \"control\"\nip: %q\nzone: %q\nregion: \"sul-br\"\nzones:\n", n.name, n.ip, n.zone)
	for _, z := range zones {
		fmt.Fprintf(&b, "  %s: \"sul-br\"\n", z.name)
	}
	fmt.Fprintf(&b, "listen:\n  front: %q\n  ready: %q\n  control: \"%s:%d\"\ninternal_ports:\n  - %d\n  - %d\nseeds:\n", n.front, n.ready, n.ip, port+2, port+3, port+6)
	for _, s := range seeds {
		fmt.Fprintf(&b, "  - %q\n", s)
	}
	b.WriteString("bootstrap: true\ninclude_in_tolerance: false\nlimits:\n  cpu_share: 0.4\n  cores: 1\n  memory_mb: 284\n  file_descriptors: 4200\n  link_mbps: 1000.0\n  disk_mb: 0\ndata_directory: null\ndiscovery: \"platform\"\nentry: \"virtual_ip\"\nheartbeat_ms: 1200\n")
	b.WriteString(bounds)
	fmt.Fprintf(&b, "platform:\n  address: %q\n  form: \"log\"\n  writes_per_s: 400\n  reads_per_s: 2000\n  parts: 8\n  append_ms: 4.0\n  partition_mb_s: 20.0\n  read_mb_s: 80.0\n  record_bytes: 262144\n  call_bytes: 2097152\n  keep_s: 300\n  partition_mb: 200\n  ttl_min_ms: 1000\n", r.storeAt)
	if err := os.WriteFile(n.settings, []byte(b.String()), 0o600); err != nil {
		r.fail("settings: %v", err)
	}
}

func (r *rig) startNode(n *node) {
	log, err := os.OpenFile(n.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		r.fail("log: %v", err)
	}
	defer log.Close()
	cmd := exec.Command(program[0], program[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "LABURNUMSTACK_BOOT=" + n.settings}
	cmd.Stdout, cmd.Stderr = log, log
	// The machines end with the rig, also if it is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		r.fail("start of %s: %v", program[0], err)
	}
	r.mu.Lock()
	n.cmd, n.ended, n.expected, n.disturbedAt = cmd, make(chan struct{}), false, time.Now()
	ended := n.ended
	r.mu.Unlock()
	go func() {
		err := cmd.Wait()
		r.mu.Lock()
		ending := r.ending || n.expected
		if !ending {
			n.exits++
		}
		r.mu.Unlock()
		if !ending {
			r.note("EXIT %s ended by itself: %v", n.name, err)
		}
		close(ended)
	}()
}

// restart stops a machine as the platform does for planned work, and starts it again.
func (r *rig) restart(n *node) {
	r.mu.Lock()
	n.expected, n.disturbedAt = true, time.Now()
	r.mu.Unlock()
	r.note("%s gets SIGTERM", n.name)
	n.cmd.Process.Signal(syscall.SIGTERM)
	// Two misses of the readiness check take the machine out of rotation.
	out := time.AfterFunc(2*time.Second, func() { r.setOut(n, true) })
	kill := time.AfterFunc(8*time.Second, func() { n.cmd.Process.Kill() })
	<-n.ended
	out.Stop()
	kill.Stop()
	r.setOut(n, true)
	r.note("%s has ended", n.name)
	time.Sleep(300 * time.Millisecond)
	r.startNode(n)
	r.awaitReady(n, 15*time.Second)
	r.setOut(n, false)
	r.note("%s is ready again", n.name)
}

func (r *rig) setOut(n *node, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n.out = out
}

// inTouch reports whether nothing has disturbed a machine in the last stable window.
func (r *rig) inTouch(n *node) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(n.disturbedAt) > stableWindow
}

// awaitReady waits until the platform would put the machine in rotation.
func (r *rig) awaitReady(n *node, limit time.Duration) {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if res, err := c.Get("http://" + n.ready + "/laburnumstack/readiness"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return
			}
		}
	}
	r.fail("%s is not ready", n.name)
}

// pickPrefix picks 24 bits of a loopback network that nobody else seems to use.
func (r *rig) pickPrefix() {
	r.prefix = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
}

// freePort returns the first of seven ports that are free on the addresses of all machines.
func (r *rig) freePort() int {
	for range 100 {
		port := 20000 + rand.IntN(20000)
		if r.portsFree(port) {
			return port
		}
	}
	r.fail("no free ports")
	return 0
}

func (r *rig) portsFree(port int) bool {
	for i := range 7 {
		for p := port; p < port+7; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", r.prefix, 40+i, p))
			if err != nil {
				return false
			}
			l.Close()
		}
		l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", r.prefix, 40+i, metricsPort))
		if err != nil {
			return false
		}
		l.Close()
	}
	return true
}

// end ends all processes that the rig started.
func (r *rig) end() {
	r.mu.Lock()
	r.ending = true
	r.mu.Unlock()
	for _, n := range r.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			n.cmd.Process.Signal(syscall.SIGCONT)
			n.cmd.Process.Kill()
			<-n.ended
		}
	}
	for _, p := range r.processes {
		p.end()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(r.dir)
	} else {
		fmt.Println("settings and logs:", r.dir)
	}
}

// verdict ends the run with the result of the check.
func (r *rig) verdict(broken bool, format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	word, code := "HELD", exitHeld
	if broken {
		word, code = "BROKEN", exitBroken
	}
	r.note("%s: %s", word, text)
	fmt.Printf("%s: %s\n", word, text)
	r.end()
	os.Exit(code)
}

// inZone returns the machines of a zone that are in rotation, or all of them if those are less than
// half.
func (r *rig) inZone(zone string) []*node {
	r.mu.Lock()
	defer r.mu.Unlock()
	var in, all []*node
	for _, n := range r.nodes {
		if n.zone != zone {
			continue
		}
		all = append(all, n)
		if !n.out {
			in = append(in, n)
		}
	}
	if 2*len(in) < len(all) {
		return all
	}
	return in
}

// senderOf returns the machine to which a client sent an attempt.
func (r *rig) senderOf(id string) *node {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sentTo[id]
}

// put writes a record of the operator or of a server to the store.
func (r *rig) put(s feeds.Stream, key, value string) { r.store.Put(s, key, []byte(value)) }

// sortedCounts formats counts by name.
func sortedCounts[N int | int64](counts map[string]N) string {
	var keys []string
	for k := range counts {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	var parts []string
	for _, k := range keys {
		parts = append(parts, fmt.Sprintf("%s: %d", k, counts[k]))
	}
	return strings.Join(parts, ", ")
}

func main() {
	if len(os.Args) == 5 && os.Args[1] == "server" {
		slots, _ := strconv.Atoi(os.Args[4])
		serveAlone(os.Args[2], os.Args[3], slots)
	}
	if len(os.Args) != 3 {
		fmt.Println("usage: rig2 CASE FOLDER")
		os.Exit(exitNoRun)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Println("no such case:", os.Args[1])
		os.Exit(exitNoRun)
	}
	r := newRig(os.Args[2])
	r.start()
	run(r)
}

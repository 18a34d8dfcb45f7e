//go:build review2

// Command rig2 starts nodes of the deploy file as processes on loopback addresses, with stand-ins
// of the store, the servers and the clients around them, and checks one rule. Each case of the
// second review is one of its arguments; see review/build-2.sh.
package main

import (
	_ "embed"
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
	"laburnumstack.org/laburnum/platform/wire"
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

// longestRun bounds a run.
const longestRun = 118 * time.Second

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
	time.AfterFunc(longestRun, func() { r.fail("it takes longer than %v", longestRun) })
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

// settings is the settings file of a machine, with the bounds of the small deployment in SYSTEM.md.
//
//go:embed settings.yaml
var settings string

func (r *rig) writeSettings(n *node, port int, seeds []string) {
	var lines []string
	for _, s := range seeds {
		lines = append(lines, fmt.Sprintf("  - %q", s))
	}
	text := strings.NewReplacer("NAME", n.name, "ADDRESS", n.ip, "PLACE", n.zone, "FRONT", n.front, "READY", n.ready, "CONTROL", fmt.Sprintf("%s:%d", n.ip, port+2),
		"FIRST", strconv.Itoa(port+3), "LAST", strconv.Itoa(port+6), "SEEDS", strings.Join(lines, "\n"), "STORE", r.storeAt).Replace(settings)
	if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
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
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", wire.SettingsVariable + "=" + n.settings}
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

// endBootstrap changes the settings of a machine: the system has run before.
func (r *rig) endBootstrap(n *node) {
	text, err := os.ReadFile(n.settings)
	if err == nil {
		err = os.WriteFile(n.settings, []byte(strings.Replace(string(text), "bootstrap: true", "bootstrap: false", 1)), 0o600)
	}
	if err != nil {
		r.fail("settings: %v", err)
	}
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
	r.endBootstrap(n)
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
		if res, err := c.Get("http://" + n.ready + wire.ReadyPath); err == nil {
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

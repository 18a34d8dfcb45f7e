//go:build review3

// Command rig3 runs the script cases of the third review: nodes as the deploy file starts them, as
// separate processes on loopback addresses, with stand-ins of the store, servers and clients in
// this process.
package main

import (
	_ "embed"
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

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
	"laburnumstack.org/laburnum/platform/wire"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

const (
	host = "rig.example"
	// serviceName is the service of all routes and servers.
	serviceName = "app"
	// Bounds of the small deployments.
	revokeTime   = 5 * time.Second
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
	version uint64
	nodes   []*node
	servers []*server
}

// newConfig returns the next version of a configuration with the given keys of one tenant.
func (r *rig) newConfig(routes []wire.Route, keys ...string) []byte {
	r.version += 3
	c := wire.Config{
		Version: r.version, Routes: routes, Services: []wire.Service{{Name: serviceName}},
		Limits:  wire.Limits{HeaderBytes: 16384, BodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants: []wire.Tenant{{Name: "tenant", Keys: keys}},
	}
	b, err := json.Marshal(c)
	must(err)
	return b
}

// route returns a route to the service of the rig.
func route(name ident.RouteName, kind topol.Kind, timeout time.Duration) wire.Route {
	return wire.Route{
		Name: name, Host: host, Prefix: "/" + string(name) + "/", Kind: wire.RouteKinds[kind], TimeoutMS: timeout.Milliseconds(),
		TargetMS: 300, Priority: 1, Service: serviceName, Attempts: 2,
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
	cmd.Env = append(os.Environ(), wire.SettingsVariable+"="+path)
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

//go:embed settings.yaml
var settingsTemplate string

func (n *node) settings() string {
	seeds := make([]string, len(n.seeds))
	for i, s := range n.seeds {
		seeds[i] = fmt.Sprintf("\"%s:%d\"", s, n.port+2)
	}
	return strings.NewReplacer(
		"@NAME@", n.name, "@IP@", n.ip, "@ZONE@", n.zone, "@STORE@", n.rig.store.addr, "@SEEDS@", strings.Join(seeds, ", "), "@BOOTSTRAP@", fmt.Sprint(!n.started),
		"@FRONT@", fmt.Sprint(n.port), "@READY@", fmt.Sprint(n.port+1), "@CONTROL@", fmt.Sprint(n.port+2), "@FIRST@", fmt.Sprint(n.port+3), "@LAST@", fmt.Sprint(n.port+6),
	).Replace(settingsTemplate)
}

// isReady reports whether the readiness check of the platform succeeds.
func (n *node) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get(fmt.Sprintf("http://%s:%d%s", n.ip, n.port+1, wire.ReadyPath))
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

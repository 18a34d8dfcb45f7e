package soak

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// restartAfter is the pause before a process that ended is started again.
	restartAfter = 300 * time.Millisecond
	// readyEvery is the pause between two questions whether a node is ready,
	// and misses the number of bad answers that take it out.
	readyEvery   = 250 * time.Millisecond
	misses       = 2
	readyTimeout = 500 * time.Millisecond
)

// process is a node that runs as a process of its own.
type process struct {
	program    string
	deployment Deployment
	journal    *Journal
	dir        string
	store      *Proxy

	// turn keeps faults apart that send signals to the process.
	turn sync.Mutex

	mu    sync.Mutex
	place Place
	cmd   *exec.Cmd
	// expected tells that the soak ends the process itself.
	expected bool
	ended    chan struct{}
	out      bool
}

func (p *process) callers() string {
	return net.JoinHostPort(p.place.IP, strconv.Itoa(p.place.Port))
}

func (p *process) settingsPath() string {
	return filepath.Join(p.dir, string(p.place.Name)+".yaml")
}

// writeSettings writes the settings file anew.
func (p *process) writeSettings() error {
	b, err := p.deployment.Settings(p.place)
	if err != nil {
		return err
	}
	path := p.settingsPath()
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start runs the program. Its log goes to a file.
func (p *process) start() error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, string(p.place.Name)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.program)
	cmd.Env = append(os.Environ(), p.deployment.Environment()+"="+p.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Annotate(err, "start node")
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended, p.expected = cmd, ended, false
	p.place.First = false
	p.mu.Unlock()
	go p.wait(cmd, ended)
	return nil
}

// end ends the process for good.
func (p *process) end() chan struct{} {
	p.signal(syscall.SIGCONT, true)
	return p.signal(syscall.SIGKILL, true)
}

// answers reports whether the node says that it is ready.
func (p *process) answers() bool {
	client := http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(p.readyURL())
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (p *process) readyURL() string {
	return "http://" + net.JoinHostPort(p.place.IP, strconv.Itoa(p.place.Port+1)) + p.deployment.ReadyPath()
}

// wait notes a process that ends by itself.
func (p *process) wait(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.mu.Lock()
	expected := p.expected
	p.mu.Unlock()
	if !expected {
		p.journal.Fault("exit", "%s ended by itself: %v", p.place.Name, err)
	}
	close(ended)
}

// signal sends a signal to the process that runs now. Ends tells that the
// process is to end of it.
func (p *process) signal(s syscall.Signal, ends bool) (ended chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expected = p.expected || ends
	p.cmd.Process.Signal(s)
	return p.ended
}

// reload writes the settings anew and says so. It waits until the program
// listens: a signal that comes before a program's first step ends it.
func (p *process) reload(ctx context.Context) error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	for !p.listens() {
		if !delay.For(ctx, readyEvery) {
			return nil
		}
	}
	p.signal(syscall.SIGHUP, false)
	return nil
}

func (p *process) listens() bool {
	c, err := net.DialTimeout("tcp", p.callers(), readyTimeout)
	if err == nil {
		c.Close()
	}
	return err == nil
}

// kill ends the process and starts it again after a pause.
func (p *process) kill(ctx context.Context, down time.Duration) error {
	<-p.signal(syscall.SIGKILL, true)
	delay.For(ctx, down)
	return p.start()
}

// stop asks the process to end, kills it if it hasn't in its grace, and starts
// it again.
func (p *process) stop(ctx context.Context) error {
	ended := p.signal(syscall.SIGTERM, true)
	t := time.NewTimer(p.place.Grace)
	defer t.Stop()
	select {
	case <-ended:
	case <-t.C:
		p.journal.Fault("stop", "%s did not end within %v", p.place.Name, p.place.Grace)
		<-p.signal(syscall.SIGKILL, true)
	}
	delay.For(ctx, restartAfter)
	return p.start()
}

// watch keeps the node out of rotation while it is not ready.
func (p *process) watch(ctx context.Context) {
	bad := 0
	for delay.For(ctx, readyEvery) {
		if p.answers() {
			bad = 0
		} else {
			bad++
		}
		p.mu.Lock()
		p.out = bad >= misses
		p.mu.Unlock()
	}
}

func (p *process) inRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.out
}

func (p *process) name() ident.NodeName { return p.place.Name }

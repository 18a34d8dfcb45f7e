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
	// restartDelay is the pause between a graceful shutdown and the next start.
	restartDelay = 300 * time.Millisecond
	// readyCheckInterval is the pause between two readiness checks of a node.
	// failureThreshold is the number of consecutive failed checks after which the
	// node is taken out of rotation. readyTimeout is the timeout of a check, and of
	// the connection attempt in isListening.
	readyCheckInterval = 250 * time.Millisecond
	failureThreshold   = 2
	readyTimeout       = 500 * time.Millisecond
)

// process runs a node as a child process and restarts it.
type process struct {
	// programs are the builds that the node starts in turn; starts is the number of its
	// starts, counted from the node's index.
	programs   []string
	starts     int
	deployment Deployment
	journal    *Journal
	// dir is where the settings file and the log are written.
	dir        string
	storeProxy *Proxy
	// distantProxy delays the bytes of distant callers.
	distantProxy *Proxy

	// signalLock is held by a fault that sends signals to the process.
	signalLock sync.Mutex
	// cutLock is held by a fault that cuts the node from the endpoints.
	cutLock sync.Mutex

	mu     sync.Mutex
	config NodeConfig
	cmd    *exec.Cmd
	// exitExpected is set when the test itself ends the process.
	exitExpected bool
	// ended is closed when the process has exited.
	ended chan struct{}
	// outOfRotation is set while the node is not ready for callers.
	outOfRotation bool
}

func (p *process) callerAddress() string {
	return net.JoinHostPort(p.config.IP, strconv.Itoa(p.config.Port))
}

// addressFor returns the address at which callers reach the node.
func (p *process) addressFor(distant bool) string {
	if distant {
		return p.distantProxy.Address()
	}
	return p.callerAddress()
}

func (p *process) settingsPath() string {
	return filepath.Join(p.dir, string(p.config.Name)+".yaml")
}

// writeSettings replaces the settings file.
func (p *process) writeSettings() error {
	b, err := p.deployment.EncodeSettings(p.config)
	if err != nil {
		return err
	}
	path := p.settingsPath()
	if err := os.WriteFile(path+".new", b, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// start writes the settings file and starts the program, whose output is appended
// to the node's log file. Only the first start has Bootstrap set.
func (p *process) start() error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, string(p.config.Name)+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(p.programs[p.starts%len(p.programs)])
	p.starts++
	cmd.Env = append(os.Environ(), p.deployment.SettingsVariable()+"="+p.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Annotate(err, "start node")
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended, p.exitExpected = cmd, ended, false
	p.config.Bootstrap = false
	p.mu.Unlock()
	go p.waitExit(cmd, ended)
	return nil
}

// terminate kills the process, even if it is suspended, and returns a channel that
// is closed at its exit.
func (p *process) terminate() chan struct{} {
	p.signal(syscall.SIGCONT, true)
	return p.signal(syscall.SIGKILL, true)
}

// isReady reports whether the node's readiness check succeeds.
func (p *process) isReady() bool {
	client := http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get(p.readyURL())
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == http.StatusOK
}

func (p *process) readyURL() string {
	return "http://" + net.JoinHostPort(p.config.IP, strconv.Itoa(p.config.Port+1)) + p.deployment.ReadyPath()
}

// waitExit waits for the exit of the process and records a violation if it was not
// expected.
func (p *process) waitExit(cmd *exec.Cmd, ended chan struct{}) {
	err := cmd.Wait()
	p.journal.RecordExit(p.config.Name)
	p.mu.Lock()
	expected := p.exitExpected
	p.mu.Unlock()
	if !expected {
		p.journal.AddViolation("exit", "%s exited unexpectedly: %v", p.config.Name, err)
	}
	close(ended)
}

// signal sends a signal to the current process and returns a channel that is
// closed at its exit. If terminates is set, the exit is expected.
func (p *process) signal(s syscall.Signal, terminates bool) (ended chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.exitExpected = p.exitExpected || terminates
	p.cmd.Process.Signal(s)
	return p.ended
}

// reload replaces the settings file, waits until the program listens and sends
// SIGHUP. A signal that arrives before the program handles it would end the
// process.
func (p *process) reload(ctx context.Context) error {
	if err := p.writeSettings(); err != nil {
		return err
	}
	for !p.isListening() {
		if !delay.For(ctx, readyCheckInterval) {
			return nil
		}
	}
	p.signal(syscall.SIGHUP, false)
	return nil
}

func (p *process) isListening() bool {
	c, err := net.DialTimeout("tcp", p.callerAddress(), readyTimeout)
	if err == nil {
		c.Close()
	}
	return err == nil
}

// killAndRestart kills the process and starts it again after the downtime.
func (p *process) killAndRestart(ctx context.Context, downtime time.Duration) error {
	<-p.signal(syscall.SIGKILL, true)
	delay.For(ctx, downtime)
	return p.start()
}

// stopAndRestart sends SIGTERM, kills the process if it has not exited within its
// grace period, and starts it again.
func (p *process) stopAndRestart(ctx context.Context) error {
	ended := p.signal(syscall.SIGTERM, true)
	t := time.NewTimer(p.config.GracePeriod)
	defer t.Stop()
	select {
	case <-ended:
	case <-t.C:
		p.journal.AddViolation("stop", "%s did not exit within %v", p.config.Name, p.config.GracePeriod)
		<-p.signal(syscall.SIGKILL, true)
	}
	delay.For(ctx, restartDelay)
	return p.start()
}

// watchReadiness checks the node's readiness at each interval. It takes the node
// out of rotation after failureThreshold failed checks and puts it back after a
// successful one, as a load balancer does.
func (p *process) watchReadiness(ctx context.Context) {
	failed := 0
	for delay.For(ctx, readyCheckInterval) {
		if p.isReady() {
			failed = 0
		} else {
			failed++
		}
		p.mu.Lock()
		p.outOfRotation = failed >= failureThreshold
		p.mu.Unlock()
	}
}

func (p *process) inRotation() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.outOfRotation
}

func (p *process) name() ident.NodeName { return p.config.Name }

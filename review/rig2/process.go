//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"sync"
	"syscall"
	"time"

	"laburnumstack.org/laburnum/internal/trans/feeds"
	"laburnumstack.org/laburnum/platform/wire"
)

// The streams of a server that runs as a process of its own.
const (
	unframedEvents = 20
	unframedPause  = 50 * time.Millisecond
)

// serveAlone is the main function of such a server. Its streams have neither a length nor chunks
// and end with their connection.
func serveAlone(address, id string, slots int) {
	r := &rig{began: time.Now(), record: os.Stdout}
	s := &server{rig: r, id: id, address: address, slots: slots, streams: true, unframed: true, stream: func(string) (int, time.Duration) { return unframedEvents, unframedPause }}
	l, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Println(err)
		os.Exit(exitNoRun)
	}
	s.serve(l)
	select {}
}

// serverProcess is a server that runs as a process of its own. The rig registers it.
type serverProcess struct {
	rig               *rig
	id, zone, address string

	mu   sync.Mutex
	cmd  *exec.Cmd
	born int64
}

// addProcess starts a model server as a process.
func (r *rig) addProcess(i int) *serverProcess {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", r.prefix, 150+i))
	if err != nil {
		r.fail("server: %v", err)
	}
	z := zones[i%len(zones)].name
	p := &serverProcess{rig: r, id: fmt.Sprintf("i-process-%s-%d", z, i/len(zones)), zone: z, address: l.Addr().String()}
	l.Close()
	r.processes = append(r.processes, p)
	p.start()
	go func() {
		for sequence := 1; ; sequence++ {
			p.register(sequence)
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return p
}

func (p *serverProcess) start() {
	cmd := exec.Command(os.Args[0], "server", p.address, p.id, strconv.Itoa(16))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.rig.fail("server: %v", err)
	}
	for range 100 {
		if c, err := net.DialTimeout("tcp", p.address, time.Second); err == nil {
			c.Close()
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cmd, p.born = cmd, time.Now().UnixMilli()
}

// register writes the entry of the server while it runs.
func (p *serverProcess) register(sequence int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.rig.put(feeds.Endpoints, p.id, fmt.Sprintf(`{"service":"assistente-dutos","address":%q,"zone":%q,"version":"v1","slots":16,"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":%d}`,
			p.address, p.zone, sequence, p.born))
	}
}

// running returns the number of requests that the server reports.
func (p *serverProcess) running() int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + p.address + wire.ReportPath)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	var report struct {
		Running int `json:"running_count"`
	}
	json.NewDecoder(res.Body).Decode(&report)
	return report.Running
}

// busyProcess returns a server that runs requests, at random.
func (r *rig) busyProcess() *serverProcess {
	var busy []*serverProcess
	for _, p := range r.processes {
		if p.running() > 0 {
			busy = append(busy, p)
		}
	}
	if len(busy) == 0 {
		return r.processes[0]
	}
	return busy[rand.IntN(len(busy))]
}

// kill kills the process of the server. Its entry expires, and another process takes its place.
func (p *serverProcess) kill(down time.Duration) {
	p.mu.Lock()
	cmd := p.cmd
	p.cmd = nil
	p.mu.Unlock()
	p.rig.note("server %s is killed", p.id)
	cmd.Process.Kill()
	cmd.Wait()
	time.AfterFunc(entryTime, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.cmd == nil {
			p.rig.put(feeds.Endpoints, p.id, "")
		}
	})
	time.AfterFunc(down, func() {
		p.start()
		p.rig.note("server %s is back", p.id)
	})
}

// end ends the process.
func (p *serverProcess) end() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Kill()
		p.cmd.Wait()
		p.cmd = nil
	}
}

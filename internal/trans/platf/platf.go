// Package platf calls the platform's log and VM list over HTTP.
package platf

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/ident"
)

// Errors of calls to the platform's services.
const (
	// ErrUnavailable means that a service can't be reached, answered with an error
	// status, or sent a body that can't be read.
	ErrUnavailable = errors.ConstError("platform service is unavailable")
	// ErrRateLimited means that a service rejected the call because of its rate
	// limit.
	ErrRateLimited = errors.ConstError("platform rate limit reached")
)

const (
	// maxResponseBytes is the maximum size of a response body in bytes.
	maxResponseBytes = 64 << 20
	// maxPageRecords is the maximum number of records that one read returns.
	maxPageRecords = 500
	// readGrace is added to the wait of a read to get its timeout.
	readGrace     = 2 * time.Second
	appendTimeout = 2 * time.Second
	listTimeout   = 2 * time.Second
)

// Log is a client of the log service at Address. It implements messg.Log.
type Log struct {
	Address string
	Pools   *conns.Pools
	// OnAppend is called after each append that the service has confirmed; nil
	// for none.
	OnAppend func()
}

var _ messg.Log = (*Log)(nil)

// Append adds a record to a stream and returns its offset. If it returns an
// error, the record may nevertheless have been added.
func (l *Log) Append(ctx context.Context, s messg.StreamName, data []byte) (ident.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var out struct{ Offset ident.Offset }
	err := call(ctx, l.Pools.Get(l.Address), fasthttp.MethodPost, "/streams/"+string(s), data, &out)
	if err == nil && l.OnAppend != nil {
		l.OnAppend()
	}
	return out.Offset, errors.Annotate(err, "append to log")
}

// Read returns records of a stream from an offset on. If there are none yet, the
// service waits for one for the given time.
func (l *Log) Read(ctx context.Context, s messg.StreamName, from ident.Offset, wait time.Duration) (messg.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	var p messg.Page
	path := fmt.Sprintf("/streams/%s?from=%d&wait=%d&max=%d", s, from, wait.Milliseconds(), maxPageRecords)
	err := call(ctx, l.Pools.Get(l.Address), fasthttp.MethodGet, path, nil, &p)
	return p, errors.Annotate(err, "read log")
}

// VMs is a client of the VM list service at Address. It implements messg.VMs.
type VMs struct {
	Address string
	Pools   *conns.Pools
}

var _ messg.VMs = (*VMs)(nil)

// List returns the running and leaving VMs.
func (v *VMs) List(ctx context.Context) ([]messg.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var vs []messg.VM
	err := call(ctx, v.Pools.Get(v.Address), fasthttp.MethodGet, "/vms", nil, &vs)
	return vs, errors.Annotate(err, "list VMs")
}

// call sends a request and decodes the JSON body of the response into out. If no
// response arrives, it closes the pool's idle connections, which may be broken
// too.
func call(ctx context.Context, p *conns.Pool, method, path string, body []byte, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(p.Address)
	req.SetBodyRaw(body)
	r, err := p.Do(ctx, conns.Call{Request: req, Identified: true})
	if err != nil {
		p.CloseIdle()
		return errors.WithType(err, ErrUnavailable)
	}
	defer r.Close()
	if r.Status == fasthttp.StatusTooManyRequests {
		return ErrRateLimited
	}
	if r.Status != fasthttp.StatusOK {
		return errors.WithType(errors.Errorf("status %d", r.Status), ErrUnavailable)
	}
	raw, err := r.ReadAll(maxResponseBytes)
	if err != nil {
		return errors.WithType(err, ErrUnavailable)
	}
	return errors.Trace(json.Unmarshal(raw, out))
}

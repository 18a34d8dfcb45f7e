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
	// ErrDown means that a service can't be reached or answered with an error.
	ErrDown = errors.ConstError("platform service is down")
	// ErrRate means that a service rejected the call because of its rate limit.
	ErrRate = errors.ConstError("platform rate limit reached")
)

const (
	// maxPage is the largest body of an answer in bytes.
	maxPage = 64 << 20
	// maxPageRecords bounds the records that one read returns.
	maxPageRecords = 500
	// readGrace is the time in addition to a read's wait after which the read
	// fails.
	readGrace     = 2 * time.Second
	appendTimeout = 2 * time.Second
	listTimeout   = 2 * time.Second
)

// Log is a client of the log service. It implements messg.Log.
type Log struct {
	Address string
	Pools   *conns.Pools
}

var _ messg.Log = (*Log)(nil)

// Append adds a record to a stream and returns its offset. If it returns an
// error, the record may nevertheless have been added.
func (l *Log) Append(ctx context.Context, s messg.StreamName, data []byte) (ident.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var out struct{ Offset ident.Offset }
	err := call(ctx, l.Pools.Get(l.Address), fasthttp.MethodPost, "/streams/"+string(s), data, &out)
	return out.Offset, errors.Annotate(err, "append")
}

// Read returns records of a stream from an offset on. If there are none yet, the
// service waits for one for the given time.
func (l *Log) Read(ctx context.Context, s messg.StreamName, from ident.Offset, wait time.Duration) (messg.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+readGrace)
	defer cancel()
	var p messg.Page
	path := fmt.Sprintf("/streams/%s?from=%d&wait=%d&max=%d", s, from, wait.Milliseconds(), maxPageRecords)
	err := call(ctx, l.Pools.Get(l.Address), fasthttp.MethodGet, path, nil, &p)
	return p, errors.Annotate(err, "read")
}

// VMs is a client of the VM list. It implements messg.VMs.
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
	return vs, errors.Annotate(err, "list")
}

// call sends a request and decodes the JSON answer into out. If the service
// can't be reached, it closes the pool's idle connections to it.
func call(ctx context.Context, p *conns.Pool, method, path string, body []byte, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(method)
	req.SetRequestURI(path)
	req.Header.SetHost(p.Address)
	req.SetBodyRaw(body)
	r, err := p.Do(ctx, conns.Call{Request: req})
	if err != nil {
		p.CloseIdle()
		return errors.WithType(err, ErrDown)
	}
	defer r.Close()
	if r.Status == fasthttp.StatusTooManyRequests {
		return ErrRate
	}
	if r.Status != fasthttp.StatusOK {
		return errors.WithType(errors.Errorf("status %d", r.Status), ErrDown)
	}
	raw, err := r.ReadAll(maxPage)
	if err != nil {
		return errors.WithType(err, ErrDown)
	}
	return errors.Trace(json.Unmarshal(raw, out))
}

// Package platf calls the platform's services over HTTP.
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

// Errors of the platform.
const (
	// ErrDown means that a service of the platform can't be reached.
	ErrDown = errors.ConstError("platform service is down")
	// ErrRate means that a service's rate limit refused the call.
	ErrRate = errors.ConstError("platform rate limit reached")
)

const (
	maxPage = 64 << 20
	// pageRecords bounds the records of one read.
	pageRecords = 500
	// slack is added to the wait of a read before its connection counts as
	// silent.
	slack         = 2 * time.Second
	appendTimeout = 2 * time.Second
	listTimeout   = 2 * time.Second
)

// Log is a client of the log service.
type Log struct {
	Address string
	Pools   *conns.Pools
}

var _ messg.Log = (*Log)(nil)

// Append adds a record.
func (l *Log) Append(ctx context.Context, s messg.StreamName, data []byte) (ident.Offset, error) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var out struct{ Offset ident.Offset }
	err := call(ctx, l.Pools.Get(l.Address), fasthttp.MethodPost, "/streams/"+string(s), data, &out)
	return out.Offset, errors.Annotate(err, "append")
}

// Read returns records from an offset on.
func (l *Log) Read(ctx context.Context, s messg.StreamName, from ident.Offset, wait time.Duration) (messg.Page, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+slack)
	defer cancel()
	var p messg.Page
	path := fmt.Sprintf("/streams/%s?from=%d&wait=%d&max=%d", s, from, wait.Milliseconds(), pageRecords)
	err := call(ctx, l.Pools.Get(l.Address), fasthttp.MethodGet, path, nil, &p)
	return p, errors.Annotate(err, "read")
}

// VMs is a client of the list of VMs.
type VMs struct {
	Address string
	Pools   *conns.Pools
}

var _ messg.VMs = (*VMs)(nil)

// List returns the list.
func (v *VMs) List(ctx context.Context) ([]messg.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	var vs []messg.VM
	err := call(ctx, v.Pools.Get(v.Address), fasthttp.MethodGet, "/vms", nil, &vs)
	return vs, errors.Annotate(err, "list")
}

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

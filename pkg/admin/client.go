package admin

import (
	"encoding/json"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Errors of the client.
const (
	// ErrUnreachable means that the node did not respond.
	ErrUnreachable = errors.ConstError("no node answered")
	// ErrDenied means that the token is missing or wrong.
	ErrDenied = errors.ConstError("token is missing or wrong")
	// ErrNoVerdict means that the outcome of a patch is unknown. It is returned
	// for every response with the status 504.
	ErrNoVerdict = errors.ConstError("no verdict, the patch may or may not be accepted")
	// ErrNotFound means that the requested item doesn't exist.
	ErrNotFound = errors.ConstError("not found")
)

// Client calls the administration API of one node.
type Client struct {
	Address string
	Token   string
	// Timeout bounds each call.
	Timeout time.Duration
}

// Config returns the configuration in force.
func (c *Client) Config() (Config, error) {
	var out Config
	return out, c.call(fasthttp.MethodGet, "/v1/config", nil, &out)
}

// Patch submits a patch and returns its verdict.
func (c *Client) Patch(p PatchRequest) (Verdict, error) {
	var out Verdict
	return out, c.call(fasthttp.MethodPost, "/v1/config/patch", p, &out)
}

// Check validates a patch without submitting it.
func (c *Client) Check(merge json.RawMessage) (CheckReply, error) {
	var out CheckReply
	return out, c.call(fasthttp.MethodPost, "/v1/config/check", CheckRequest{merge}, &out)
}

// Verdict returns the verdict on a patch that was submitted before.
func (c *Client) Verdict(id ident.PatchID) (Verdict, error) {
	var out Verdict
	return out, c.call(fasthttp.MethodGet, "/v1/config/patches/"+url.PathEscape(string(id)), nil, &out)
}

// History returns the verdicts on patches, oldest first.
func (c *Client) History() ([]Verdict, error) {
	var out []Verdict
	return out, c.call(fasthttp.MethodGet, "/v1/config/history", nil, &out)
}

// Nodes returns the nodes of the fleet that the called node knows, itself first.
func (c *Client) Nodes() ([]Member, error) {
	var out []Member
	return out, c.call(fasthttp.MethodGet, "/v1/nodes", nil, &out)
}

// Endpoints returns the state of the endpoints as the node sees it.
func (c *Client) Endpoints() ([]Endpoint, error) {
	var out []Endpoint
	return out, c.call(fasthttp.MethodGet, "/v1/endpoints", nil, &out)
}

// Timeline returns the latest events of the node, at most limit of them. If r is
// not empty, it returns only events of that request.
func (c *Client) Timeline(r ident.RequestID, limit int) ([]Event, error) {
	var out []Event
	path := fmt.Sprintf("/v1/timeline?request=%s&most=%d", url.QueryEscape(string(r)), limit)
	return out, c.call(fasthttp.MethodGet, path, nil, &out)
}

// Usage returns the usage of all workspaces, summed over all nodes.
func (c *Client) Usage() ([]UsageRow, error) {
	var out []UsageRow
	return out, c.call(fasthttp.MethodGet, "/v1/usage", nil, &out)
}

// Drain starts a graceful shutdown of the node.
func (c *Client) Drain() error {
	return c.call(fasthttp.MethodPost, "/v1/drain", nil, nil)
}

// call sends a request with the JSON encoding of in as its body and decodes the
// response into out. Either may be nil.
func (c *Client) call(method, path string, in, out any) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + trimScheme(c.Address) + path)
	req.Header.Set("Authorization", "Bearer "+c.Token)
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return errors.Trace(err)
		}
		req.SetBodyRaw(raw)
	}
	h := &fasthttp.Client{MaxIdemponentCallAttempts: 1, RetryIfErr: neverRetry}
	if err := h.DoTimeout(req, resp, c.Timeout); err != nil {
		return errors.WithType(errors.Annotatef(err, "node at %s", c.Address), ErrUnreachable)
	}
	if err := statusError(resp); err != nil {
		return err
	}
	if out == nil {
		return nil
	}
	return errors.Annotate(json.Unmarshal(resp.Body(), out), "response")
}

func neverRetry(*fasthttp.Request, int, error) (bool, bool) { return false, false }

// trimScheme returns an address without a leading http:// and a trailing slash.
func trimScheme(addr string) string {
	return strings.TrimSuffix(strings.TrimPrefix(addr, "http://"), "/")
}

// statusError returns the error that a response contains. A verdict on a patch is
// not an error, although it may come with an error status.
func statusError(r *fasthttp.Response) error {
	if r.StatusCode() < 300 || len(r.Header.Peek(VerdictHeader)) > 0 {
		return nil
	}
	var e Error
	if err := json.Unmarshal(r.Body(), &e); err != nil {
		return errors.Errorf("status %d", r.StatusCode())
	}
	cause := errors.Errorf("%s: %s", e.Code, e.Message)
	switch r.StatusCode() {
	case fasthttp.StatusUnauthorized:
		return errors.WithType(cause, ErrDenied)
	case fasthttp.StatusNotFound:
		return errors.WithType(cause, ErrNotFound)
	case fasthttp.StatusGatewayTimeout:
		return errors.WithType(cause, ErrNoVerdict)
	}
	return cause
}

// VerdictHeader is the header field that is set in responses with a verdict.
const VerdictHeader = "Verdict"

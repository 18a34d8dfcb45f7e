package gate

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/coord/quota"
	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/pkg/ident"
)

// names responds like ok and names a limit.
func names(limit string) script {
	return raw(fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %%ID\r\nSigned: 1\r\nLimit: %s\r\nContent-Length: 3\r\n\r\nyes", limit), true)
}

// Guards against requests that wait or fail although their endpoints said that they
// accept no more: they must be rejected at once, with a true time to return.
func TestRequestsAboveTheLimitAreRejectedAtOnce(t *testing.T) {
	e := newEndpoint(t, "e", names("0.1"))
	r := newRig(t, e)
	must.Eq(t, 200, r.do(request("GET", "/safe/", "r1", "")).status)
	res := r.do(request("GET", "/safe/", "r2", ""))
	test.Eq(t, 503, res.status)
	test.Between(t, 1, res.retryAfter(t), 10, test.Sprint("the limit allows a request each 10 s"))
	test.SliceLen(t, 1, e.requests())
}

func TestRequestsAboveTheLimitGoToOtherEndpoints(t *testing.T) {
	limited := strings.Replace(streamHead, "\r\n\r\n", "\r\nLimit: 0.1\r\n\r\n", 1) + chunked(event(1)) + lastChunk
	for _, c := range []struct {
		target        string
		limited, free script
	}{
		{"/safe/", names("0.1"), ok("yes")},
		{"/stream/", raw(limited, true), streams(1, 1, true)},
	} {
		e, f := newEndpoint(t, "e", c.limited), newEndpoint(t, "f", c.free)
		r := newRig(t, e, f)
		for i := range 20 {
			must.Eq(t, 200, r.do(request("POST", c.target, fmt.Sprint("r", i), "", "Prompt: 5000")).status)
		}
		test.LessEq(t, 1, len(e.requests()), test.Sprint(c.target))
		test.SliceLen(t, 20-len(e.requests()), f.requests())
	}
}

// Guards against LIMIT: a request that is sent again counts like any other.
func TestRetriesKeepWithinTheLimit(t *testing.T) {
	e := newEndpoint(t, "e", names("0.1"), ok("yes"))
	f := newEndpoint(t, "f", fails(500))
	r := newRig(t, e, f)
	for len(e.requests()) == 0 {
		r.do(request("GET", "/safe/", "r1", ""))
	}
	for i := range 10 {
		test.Eq(t, 500, r.do(request("GET", "/safe/", fmt.Sprint("r", i), "")).status)
	}
	test.SliceLen(t, 1, e.requests())
}

func TestPeersAreToldOfLimits(t *testing.T) {
	r := newRig(t, newEndpoint(t, "e", names("1000000"), names("2000000"), ok("yes"), ok("yes")))
	var mu sync.Mutex
	var told []quota.Limit
	r.server.AnnounceLimits = func(ls ...quota.Limit) {
		mu.Lock()
		defer mu.Unlock()
		told = append(told, ls...)
	}
	for i := range 4 {
		time.Sleep(time.Millisecond)
		must.Eq(t, 200, r.do(request("GET", "/safe/", fmt.Sprint("r", i), "")).status)
	}
	mu.Lock()
	defer mu.Unlock()
	must.SliceLen(t, 3, told)
	test.Eq(t, 1e6, told[0].Rate)
	test.Eq(t, 2e6, told[1].Rate)
	test.True(t, told[2].Ended)
}

// A node that no endpoint told yet must keep within the limit too.
func TestLimitsOfPeersHold(t *testing.T) {
	e := newEndpoint(t, "e", ok("yes"))
	r := newRig(t, e)
	r.server.AddPeerLimits([]quota.Limit{{Key: quota.Key{Endpoint: "ep"}, Rate: 0.2, ObservedAt: time.Now()}})
	test.Eq(t, 503, r.do(request("GET", "/safe/", "r1", "")).status)
	test.SliceLen(t, 1, r.server.Limits())
	// The rig lists the endpoint under two names; one that is gone is forgotten.
	r.server.AddPeerLimits([]quota.Limit{{Key: quota.Key{Endpoint: "gone"}, Rate: 0.2, ObservedAt: time.Now()}})
	r.server.refreshLimits(time.Now())
	must.SliceLen(t, 1, r.server.Limits())
	test.Eq(t, ident.EndpointName("ep"), r.server.Limits()[0].Endpoint)
}

// Guards against a node that rejects requests although another one, which has the
// share of the limit, could still send some.
func TestNodeWithoutShareAsksForAPermit(t *testing.T) {
	for _, c := range []struct {
		name   string
		permit relay.Permit
		err    error
		status int
		retry  string
	}{
		{"granted", relay.Permit{Granted: true}, nil, 200, ""},
		{"denied", relay.Permit{Wait: 1500 * time.Millisecond}, nil, 503, "1.50"},
		{"no answer", relay.Permit{}, errors.New("no answer"), 503, "5.00"},
	} {
		e := newEndpoint(t, "e", names("0.2"))
		r := newRig(t, e)
		r.server.Nodes = func(time.Time) quota.Nodes {
			return quota.Nodes{Self: "n1", Alive: []ident.NodeName{"n1", "n2", "n3"}, Known: 3}
		}
		key := quota.Key{Endpoint: "ep"}
		must.Eq(t, 0, r.server.Nodes(time.Now()).Share(key, 0.2), must.Sprint("another node has the share"))
		var asked []ident.NodeName
		r.server.FetchPermit = func(n ident.NodeName, k quota.Key) (relay.Permit, error) {
			asked = append(asked, n)
			test.Eq(t, key, k)
			return c.permit, c.err
		}
		r.server.AddPeerLimits([]quota.Limit{{Key: key, Rate: 0.2, ObservedAt: time.Now()}})
		res := r.do(request("POST", "/once/", "r1", ""))
		test.Eq(t, c.status, res.status, test.Sprint(c.name))
		test.Eq(t, c.retry, res.header.Get("Retry-After"), test.Sprint(c.name))
		test.SliceLen(t, 1, asked)
	}
}

func TestPermitsAreTakenOutOfTheShare(t *testing.T) {
	r := newRig(t, newEndpoint(t, "e", ok("yes")))
	key := quota.Key{Endpoint: "ep"}
	test.False(t, r.server.Permit(key).Granted, test.Sprint("nothing is known of a limit"))
	r.server.AddPeerLimits([]quota.Limit{{Key: key, Rate: 1000, ObservedAt: time.Now()}})
	time.Sleep(2 * time.Millisecond)
	test.True(t, r.server.Permit(key).Granted)
	r.server.AddPeerLimits([]quota.Limit{{Key: key, Rate: 0.2, ObservedAt: time.Now()}})
	p := r.server.Permit(key)
	test.False(t, p.Granted)
	test.Between(t, 4*time.Second, p.Wait, 5*time.Second)
	r.server.AddPeerLimits([]quota.Limit{{Key: key, Ended: true, ObservedAt: time.Now()}})
	test.True(t, r.server.Permit(key).Granted)
}

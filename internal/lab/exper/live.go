package exper

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"laburnumstack.org/laburnum/internal/lab/fleet"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/pkg/admin"
)

// pollEvery is how often a node is asked for its version.
const pollEvery = 2 * time.Millisecond

// ConfigSpread measures how long accepted patches take until they are in
// force at all nodes of a running fleet.
func ConfigSpread(f *fleet.Fleet, patches int) ([]time.Duration, error) {
	var took []time.Duration
	for i := range patches {
		c, err := f.Client(i % len(f.Nodes)).Config()
		if err != nil {
			return nil, errors.Trace(err)
		}
		v, err := f.Patch(json.RawMessage(`{}`), c.Version)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if v.Result != admin.Accepted {
			continue
		}
		began := time.Now()
		for n := range f.Nodes {
			for {
				c, err := f.Client(n).Config()
				if err != nil {
					return nil, errors.Trace(err)
				}
				if c.Version >= v.Version {
					break
				}
				time.Sleep(pollEvery)
			}
		}
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	return took, nil
}

// Bookings is what bookings at one rate took.
type Bookings struct {
	Rate     int
	P50, P99 time.Duration
	// Direct is the median of the same call straight to a service.
	Direct time.Duration
	// Appends is the appends a second of the whole fleet.
	Appends float64
	Failed  int
}

// BookAt sends bookings at a rate to all nodes of a running fleet in turn.
func BookAt(ctx context.Context, f *fleet.Fleet, rate int, span time.Duration) Bookings {
	b := Bookings{Rate: rate}
	key := f.Plan.Workspaces[0].Key()
	pools := &conns.Pools{}
	before := f.Log.Appends()
	var mu sync.Mutex
	var took, direct []time.Duration
	var wg sync.WaitGroup
	began := time.Now()
	for i := range int(float64(rate) * span.Seconds()) {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		wg.Go(func() {
			d, err := bookOnce(ctx, pools.Get(f.Callers()[i%len(f.Nodes)]), f, key, fmt.Sprintf("rate-%d-%d", rate, i))
			straight, _ := bookOnce(ctx, pools.Get(f.Services[0].Address), f, key, fmt.Sprintf("direct-%d-%d", rate, i))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				b.Failed++
				return
			}
			took, direct = append(took, d), append(direct, straight)
		})
	}
	wg.Wait()
	b.Appends = float64(f.Log.Appends()-before) / time.Since(began).Seconds()
	slices.Sort(took)
	slices.Sort(direct)
	if len(took) > 0 {
		b.P50, b.P99, b.Direct = took[len(took)/2], took[len(took)*99/100], direct[len(direct)/2]
	}
	return b
}

func bookOnce(ctx context.Context, p *conns.Pool, f *fleet.Fleet, key, name string) (time.Duration, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/bookings")
	req.Header.SetHost(f.Plan.Host)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", name)
	req.SetBodyString(`{"Segment":17}`)
	began := time.Now()
	r, err := p.Do(ctx, conns.Call{Request: req})
	if err != nil {
		return 0, err
	}
	defer r.Close()
	if _, err := r.ReadAll(maxAnswer); err != nil {
		return 0, err
	}
	if r.Status != fasthttp.StatusCreated {
		return 0, errors.Errorf("status %d", r.Status)
	}
	return time.Since(began), nil
}

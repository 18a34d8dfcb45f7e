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

// versionPollInterval is the pause between two reads of a node's configuration.
const versionPollInterval = 2 * time.Millisecond

// MeasureConfigPropagation submits patches to a running fleet and returns, in
// ascending order, the times from the verdict on each accepted patch until its
// version is in force at all nodes. Patches that are not accepted are left out.
func MeasureConfigPropagation(f *fleet.Fleet, patches int) ([]time.Duration, error) {
	var took []time.Duration
	for i := range patches {
		c, err := f.Client(i % len(f.Nodes)).Config()
		if err != nil {
			return nil, errors.Trace(err)
		}
		verdict, err := f.Patch(json.RawMessage(`{}`), c.Version)
		if err != nil {
			return nil, errors.Trace(err)
		}
		if verdict.Result != admin.Accepted {
			continue
		}
		began := time.Now()
		for n := range f.Nodes {
			for {
				c, err := f.Client(n).Config()
				if err != nil {
					return nil, errors.Trace(err)
				}
				if c.Version >= verdict.Version {
					break
				}
				time.Sleep(versionPollInterval)
			}
		}
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	return took, nil
}

// BookingStats summarizes bookings sent at one rate.
type BookingStats struct {
	// Rate is the number of bookings sent per second.
	Rate int
	// P50 and P99 are percentiles of the duration of successful bookings sent to
	// the nodes.
	P50, P99 time.Duration
	// DirectP50 is the median duration of bookings sent directly to a service.
	DirectP50 time.Duration
	// AppendsPerSecond is the number of log appends per second of the whole
	// fleet.
	AppendsPerSecond float64
	// Failed is the number of failed bookings sent to the nodes.
	Failed int
}

// MeasureBookings sends rate bookings per second to the nodes of a running fleet
// in turn. Each is followed by a booking sent directly to a service.
func MeasureBookings(ctx context.Context, f *fleet.Fleet, rate int, duration time.Duration) BookingStats {
	stats := BookingStats{Rate: rate}
	apiKey := f.Plan.Workspaces[0].Key()
	pools := &conns.Pools{}
	before := f.Log.AppendCount()
	var mu sync.Mutex
	var took, direct []time.Duration
	var wg sync.WaitGroup
	began := time.Now()
	for i := range int(float64(rate) * duration.Seconds()) {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		wg.Go(func() {
			d, err := timeBooking(ctx, pools.Get(f.CallerAddrs()[i%len(f.Nodes)]), f, apiKey, fmt.Sprintf("rate-%d-%d", rate, i))
			directTook, _ := timeBooking(ctx, pools.Get(f.Services[0].Address), f, apiKey, fmt.Sprintf("direct-%d-%d", rate, i))
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				stats.Failed++
				return
			}
			took, direct = append(took, d), append(direct, directTook)
		})
	}
	wg.Wait()
	stats.AppendsPerSecond = float64(f.Log.AppendCount()-before) / time.Since(began).Seconds()
	slices.Sort(took)
	slices.Sort(direct)
	if len(took) > 0 {
		stats.P50, stats.P99, stats.DirectP50 = took[len(took)/2], took[len(took)*99/100], direct[len(direct)/2]
	}
	return stats
}

// timeBooking sends a booking and returns the time until its response was read.
func timeBooking(ctx context.Context, p *conns.Pool, f *fleet.Fleet, apiKey, idempotencyKey string) (time.Duration, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("/bookings")
	req.Header.SetHost(f.Plan.Host)
	req.Header.Set("Authorization", "Bearer "+apiKey)
	req.Header.Set("Idempotency-Key", idempotencyKey)
	req.SetBodyString(`{"Segment":17}`)
	began := time.Now()
	r, err := p.Do(ctx, conns.Call{Request: req})
	if err != nil {
		return 0, err
	}
	defer r.Close()
	if _, err := r.ReadAll(maxBodyBytes); err != nil {
		return 0, err
	}
	if r.Status != fasthttp.StatusCreated {
		return 0, errors.Errorf("status %d", r.Status)
	}
	return time.Since(began), nil
}

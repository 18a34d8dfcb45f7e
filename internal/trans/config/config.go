// Package config follows the configuration stream, puts versions in force and
// appends patches and snapshots.
package config

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/delay"
	"laburnumstack.org/laburnum/internal/state/fold"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/tail"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// ErrNoVerdict means that a patch may or may not have entered the log.
const ErrNoVerdict = errors.ConstError("no verdict on the patch in time")

const checkWait = time.Second

// Follower is one reader of the configuration stream. Its exported fields are
// set before Run.
type Follower struct {
	Log    messg.Log
	Ring   *trace.Ring
	Logger zerolog.Logger
	// SnapshotEvery is the time after which a snapshot is written again. It
	// must be well below the log's retention.
	SnapshotEvery time.Duration
	// InForce is told of each new version in force.
	InForce func(ident.Version, *confg.Document)

	mu       sync.Mutex
	fold     *fold.Fold
	changed  chan struct{}
	inForce  ident.Version
	snapshot time.Time
	started  time.Time
	// down tells that the last read failed; only the follower uses it.
	down bool
}

// Init prepares the follower; it is called once before use.
func (f *Follower) Init() {
	f.fold = fold.New()
	f.changed = make(chan struct{})
	f.started = time.Now()
}

// Run follows the stream until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { f.follower().Run(ctx); return nil })
	g.Go(func() error { f.snapshots(ctx); return nil })
	return g.Wait()
}

func (f *Follower) follower() tail.Follower {
	return tail.Follower{Log: f.Log, Stream: messg.ConfigStream, Next: f.next, Apply: f.apply, Note: f.noteRead}
}

// noteRead notes when the log begins and ends to fail.
func (f *Follower) noteRead(err error) {
	down := err != nil
	if down == f.down {
		return
	}
	f.down = down
	if down {
		f.Logger.Warn().Err(err).Msg("config: log does not answer")
		f.Ring.Add(trace.Platform, "", "log does not answer")
		return
	}
	f.Logger.Info().Msg("config: log answers")
	f.Ring.Add(trace.Platform, "", "log answers")
}

func (f *Follower) next() ident.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Next()
}

func (f *Follower) apply(p messg.Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fold.SetOldest(p.Oldest)
	for _, r := range p.Records {
		for _, v := range f.fold.Apply(r.Offset, r.Data) {
			f.noteVerdict(v)
		}
		if f.fold.SnapshotOffset() == r.Offset {
			f.snapshot = r.At
		}
	}
	f.publish()
}

func (f *Follower) noteVerdict(v fold.Verdict) {
	text := fmt.Sprintf("patch %s by %s on version %d is %s, version %d is in force", v.PatchID, v.Author, v.Base, v.Result, v.Version)
	f.Ring.Add(trace.Config, "", text)
	f.Logger.Info().Msg("config: " + text)
}

// publish puts the fold's version in force if it is newer and wakes waiters.
func (f *Follower) publish() {
	if v := f.fold.Version(); v > f.inForce {
		f.inForce = v
		f.InForce(v, f.fold.Document())
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// Behind takes the configuration of a peer that has a newer version.
func (f *Follower) Behind(s fold.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	took, err := f.fold.Restore(s)
	if err != nil {
		f.Logger.Warn().Err(err).Msg("config: peer sent a bad configuration")
		return
	}
	if took {
		f.Ring.Add(trace.Config, "", fmt.Sprintf("version %d taken from a peer", s.Version))
		f.publish()
	}
}

// Snapshot returns the configuration for a peer.
func (f *Follower) Snapshot() messg.ConfigReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	return messg.ConfigReply{Based: f.fold.Based(), Snapshot: f.fold.Snapshot()}
}

// Current returns the version in force and its document as it was patched.
func (f *Follower) Current() (ident.Version, json.RawMessage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Version(), f.fold.Raw()
}

// Ready reports whether a version is known to be in force.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Based() || f.fold.Version() > 0
}

// Verdict returns what is known of a patch.
func (f *Follower) Verdict(id ident.PatchID) (fold.Verdict, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Verdict(id)
}

// History returns the verdicts known, oldest first.
func (f *Follower) History() []fold.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.History()
}

// Check returns what is wrong with a patch on the version in force.
func (f *Follower) Check(merge []byte) confg.Problems {
	_, raw := f.Current()
	merged, err := confg.Merge(raw, merge)
	if err != nil {
		return confg.Problems{{Path: "", Why: err.Error()}}
	}
	_, ps := confg.Parse(merged)
	return ps
}

// Patch appends a patch once and waits for its verdict. A patch that can't be
// accepted any more is judged without the log.
func (f *Follower) Patch(ctx context.Context, p fold.Patch) (fold.Verdict, error) {
	if v, done := f.judge(p); done {
		return v, nil
	}
	raw, err := json.Marshal(fold.Record{Patch: &p})
	if err != nil {
		return fold.Verdict{}, errors.Trace(err)
	}
	if _, err := f.Log.Append(ctx, messg.ConfigStream, raw); err != nil {
		f.Logger.Warn().Err(err).Str("patch", string(p.ID)).Msg("config: append failed, waiting for the stream")
	}
	return f.await(ctx, p.ID)
}

// judge decides on a patch as far as the version in force allows.
func (f *Follower) judge(p fold.Patch) (fold.Verdict, bool) {
	if v, ok := f.Verdict(p.ID); ok {
		return v, true
	}
	v := fold.Verdict{PatchID: p.ID, Base: p.Base, Author: p.Author, At: p.At}
	version, _ := f.Current()
	v.Version = version
	if p.Base < version {
		v.Result = fold.Stale
		return v, true
	}
	if err := confg.CheckPatch(p.Merge); err != nil {
		v.Result = fold.Refused
		v.Problems = confg.Problems{{Path: "", Why: err.Error()}}
		return v, true
	}
	if p.Base > version {
		return v, false
	}
	if ps := f.Check(p.Merge); len(ps) > 0 {
		v.Result = fold.Refused
		v.Problems = ps
		return v, true
	}
	return v, false
}

// await waits until a patch is folded.
func (f *Follower) await(ctx context.Context, id ident.PatchID) (fold.Verdict, error) {
	for {
		f.mu.Lock()
		v, ok := f.fold.Verdict(id)
		changed := f.changed
		f.mu.Unlock()
		if ok {
			return v, nil
		}
		select {
		case <-ctx.Done():
			return fold.Verdict{}, ErrNoVerdict
		case <-changed:
		}
	}
}

// snapshots writes a snapshot whenever the newest one has become old. Nodes
// wait for random times, so that mostly one of them writes.
func (f *Follower) snapshots(ctx context.Context) {
	wait := f.SnapshotEvery + rand.N(f.SnapshotEvery/2+1)
	for delay.For(ctx, min(checkWait, f.SnapshotEvery/4)) {
		if !f.due(wait) {
			continue
		}
		wait = f.SnapshotEvery + rand.N(f.SnapshotEvery/2+1)
		if err := f.writeSnapshot(ctx); err != nil {
			f.Logger.Warn().Err(err).Msg("config: snapshot not written")
		}
	}
}

func (f *Follower) due(wait time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.snapshot
	if last.IsZero() {
		last = f.started
	}
	return f.fold.Based() && f.fold.Version() > 0 && time.Since(last) > wait
}

func (f *Follower) writeSnapshot(ctx context.Context) error {
	f.mu.Lock()
	s := f.fold.Snapshot()
	f.snapshot = time.Now()
	f.mu.Unlock()
	raw, err := json.Marshal(fold.Record{Snapshot: &s})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = f.Log.Append(ctx, messg.ConfigStream, raw)
	return err
}

// Package config reads the configuration stream of the log, passes each new
// version on to be put in force, and appends patches and snapshots.
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

// ErrNoVerdict means that the verdict on a patch was not read in time. The
// patch may or may not have been appended to the log.
const ErrNoVerdict = errors.ConstError("timed out waiting for the verdict on the patch")

// maxSnapshotCheckInterval bounds the interval of the checks for a due snapshot.
const maxSnapshotCheckInterval = time.Second

// Follower reads the configuration stream, holds the version in force, and
// appends patches and snapshots. Its exported fields are set before Run.
type Follower struct {
	Log    messg.Log
	Ring   *trace.Ring
	Logger zerolog.Logger
	// SnapshotEvery is the age of the newest snapshot in the stream at which
	// another is appended, after a random delay of up to half of SnapshotEvery.
	// It must be well below the log's retention time.
	SnapshotEvery time.Duration
	// OnNewVersion is called with each new version in force and its document. It
	// must not call methods of the follower, whose lock is held during the call.
	OnNewVersion func(ident.Version, *confg.Document)

	mu   sync.Mutex
	fold *fold.Fold
	// changed is closed and replaced after each page read from the stream and
	// each restored snapshot.
	changed chan struct{}
	// published is the last version passed to OnNewVersion.
	published ident.Version
	// snapshotAt is the time of the newest snapshot read, by the log's clock, or of
	// this node's last attempt to write one, by its own clock, whichever happened
	// last. Before both, it is the time of the record at offset 0, or zero if that
	// record hasn't been read.
	snapshotAt time.Time
	startedAt  time.Time
	// logDown is set if the last read of the log failed. Only the goroutine that
	// reads the stream uses it.
	logDown bool
}

// Init prepares the follower. It must be called once before all other methods.
func (f *Follower) Init() {
	f.fold = fold.New()
	f.changed = make(chan struct{})
	f.startedAt = time.Now()
}

// Run reads the stream and writes snapshots until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { f.tailFollower().Run(ctx); return nil })
	g.Go(func() error { f.writeSnapshots(ctx); return nil })
	return g.Wait()
}

func (f *Follower) tailFollower() tail.Follower {
	return tail.Follower{Log: f.Log, Stream: messg.ConfigStream, Next: f.next, Apply: f.apply, OnRead: f.logReadResult}
}

// logReadResult logs the first failed read of an outage and the first
// successful one after it.
func (f *Follower) logReadResult(err error) {
	down := err != nil
	if down == f.logDown {
		return
	}
	f.logDown = down
	if down {
		f.Logger.Warn().Err(err).Msg("config: reading the log failed")
		f.Ring.Add(trace.Platform, "", "log does not answer")
		return
	}
	f.Logger.Info().Msg("config: reading the log succeeded again")
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
			f.recordVerdict(v)
		}
		if f.fold.SnapshotOffset() == r.Offset {
			f.snapshotAt = r.At
		}
	}
	f.publish()
}

func (f *Follower) recordVerdict(v fold.Verdict) {
	text := fmt.Sprintf("patch %s by %s on version %d is %s, version %d is in force", v.PatchID, v.Author, v.Base, v.Result, v.Version)
	f.Ring.Add(trace.Config, "", text)
	f.Logger.Info().Msg("config: " + text)
}

// publish passes the version of the fold to OnNewVersion if it is newer than the
// last one, and wakes the callers that wait for a verdict. f.mu must be held.
func (f *Follower) publish() {
	if v := f.fold.Version(); v > f.published {
		f.published = v
		f.OnNewVersion(v, f.fold.Document())
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

// Restore applies a snapshot received from a peer if it is ahead of this node's
// configuration.
func (f *Follower) Restore(s fold.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	restored, err := f.fold.Restore(s)
	if err != nil {
		f.Logger.Warn().Err(err).Msg("config: peer sent an invalid configuration")
		return
	}
	if restored {
		f.Ring.Add(trace.Config, "", fmt.Sprintf("version %d taken from a peer", s.Version))
		f.publish()
	}
}

// ConfigReply returns the configuration as it is sent to peers.
func (f *Follower) ConfigReply() messg.ConfigReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	return messg.ConfigReply{Based: f.fold.Based(), Snapshot: f.fold.Snapshot()}
}

// Current returns the version in force and its document, without defaults filled
// in.
func (f *Follower) Current() (ident.Version, json.RawMessage) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Version(), f.fold.Raw()
}

// Ready reports whether the follower has a configuration, possibly an empty one,
// from the stream or from a peer.
func (f *Follower) Ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Based() || f.fold.Version() > 0
}

// Verdict returns the verdict on a patch, if the follower has read it.
func (f *Follower) Verdict(id ident.PatchID) (fold.Verdict, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.Verdict(id)
}

// History returns the latest verdicts on patches, oldest first.
func (f *Follower) History() []fold.Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fold.History()
}

// Check returns the problems of the document that results if the patch is
// applied to the version in force.
func (f *Follower) Check(patch []byte) confg.Problems {
	_, raw := f.Current()
	merged, err := confg.Merge(raw, patch)
	if err != nil {
		return confg.Problems{{Path: "", Why: err.Error()}}
	}
	_, ps := confg.Parse(merged)
	return ps
}

// Patch appends a patch once and waits for its verdict. If the patch already
// has a verdict or can't be accepted, it returns without appending. It returns
// ErrNoVerdict if the context ends first.
func (f *Follower) Patch(ctx context.Context, p fold.Patch) (fold.Verdict, error) {
	if v, decided := f.precheck(p); decided {
		return v, nil
	}
	raw, err := json.Marshal(fold.Record{Patch: &p})
	if err != nil {
		return fold.Verdict{}, errors.Trace(err)
	}
	if _, err := f.Log.Append(ctx, messg.ConfigStream, raw); err != nil {
		f.Logger.Warn().Err(err).Str("patch", string(p.ID)).Msg("config: append failed, the patch may still appear in the stream")
	}
	return f.awaitVerdict(ctx, p.ID)
}

// precheck returns the verdict on a patch and true if the verdict can be decided
// without appending the patch. It returns false if the patch must be appended,
// because it is valid on the version in force or its base is a version that this
// node hasn't read yet.
func (f *Follower) precheck(p fold.Patch) (fold.Verdict, bool) {
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

// awaitVerdict waits until the patch has been read from the stream and returns
// its verdict. It returns ErrNoVerdict if the context ends first.
func (f *Follower) awaitVerdict(ctx context.Context, id ident.PatchID) (fold.Verdict, error) {
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

// writeSnapshots appends a snapshot whenever the newest one in the stream is
// too old. The age limit is randomized per node and snapshot, so that usually
// only one node writes.
func (f *Follower) writeSnapshots(ctx context.Context) {
	maxAge := f.SnapshotEvery + rand.N(f.SnapshotEvery/2+1)
	for delay.For(ctx, min(maxSnapshotCheckInterval, f.SnapshotEvery/4)) {
		if !f.snapshotDue(maxAge) {
			continue
		}
		maxAge = f.SnapshotEvery + rand.N(f.SnapshotEvery/2+1)
		if err := f.writeSnapshot(ctx); err != nil {
			f.Logger.Warn().Err(err).Msg("config: writing a snapshot failed")
		}
	}
}

// snapshotDue reports whether the newest snapshot is older than maxAge and this
// node's configuration is based, see fold.Fold. If the node has read neither a
// snapshot nor the record at offset 0, the age counts from its start.
func (f *Follower) snapshotDue(maxAge time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.snapshotAt
	if last.IsZero() {
		last = f.startedAt
	}
	return f.fold.Based() && f.fold.Version() > 0 && time.Since(last) > maxAge
}

func (f *Follower) writeSnapshot(ctx context.Context) error {
	f.mu.Lock()
	s := f.fold.Snapshot()
	f.snapshotAt = time.Now()
	f.mu.Unlock()
	raw, err := json.Marshal(fold.Record{Snapshot: &s})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = f.Log.Append(ctx, messg.ConfigStream, raw)
	return err
}

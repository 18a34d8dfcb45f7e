package config_test

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/lab/memlog"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/state/fold"
	"laburnumstack.org/laburnum/internal/state/trace"
	"laburnumstack.org/laburnum/internal/trans/config"
	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// startFollower runs a follower until the test ends or stop is called. It checks
// that new versions come in increasing order.
func startFollower(t *testing.T, l *memlog.Log) (f *config.Follower, stop func()) {
	last := ident.Version(0)
	f = &config.Follower{
		Log: l, Ring: trace.NewRing("n", &trace.Clock{}, 100), Logger: zerolog.Nop(), SnapshotEvery: time.Minute,
		OnNewVersion: func(v ident.Version, _ *confg.Document) {
			test.Greater(t, last, v)
			last = v
		},
	}
	f.Init()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { f.Run(ctx); close(done) }()
	stop = func() { cancel(); <-done }
	t.Cleanup(stop)
	return f, stop
}

func submit(f *config.Follower, id string, base ident.Version, merge string) (fold.Verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return f.Patch(ctx, fold.Patch{ID: ident.PatchID(id), Base: base, Merge: json.RawMessage(merge)})
}

func TestOnlyOneOfTwoPatchesOnSameBaseIsAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		results := make(chan fold.Result, 2)
		for _, id := range []string{"a", "b"} {
			f, _ := startFollower(t, l)
			go func() {
				v, err := submit(f, id, 0, `{}`)
				test.NoError(t, err)
				results <- v.Result
			}()
		}
		got := []fold.Result{<-results, <-results}
		test.SliceContainsAll(t, got, []fold.Result{fold.Accepted, fold.Stale})
	})
}

func TestPatchIsAppendedOnceIfAppendResponseIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		f, _ := startFollower(t, l)
		l.LoseAnswers(1)
		v, err := submit(f, "a", 0, `{}`)
		must.NoError(t, err)
		test.Eq(t, fold.Accepted, v.Result)
		test.Eq(t, 1, l.Appends())
	})
}

func TestPatchDuringLogOutageHasNoVerdict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		f, _ := startFollower(t, l)
		time.Sleep(time.Second)
		l.SetDown(true)
		_, err := submit(f, "a", 0, `{}`)
		test.ErrorIs(t, err, config.ErrNoVerdict)
	})
}

func TestInvalidPatchIsRefusedWithoutAppend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		f, _ := startFollower(t, l)
		time.Sleep(time.Second)
		v, err := submit(f, "a", 0, `{"Limits":{"MaxStrikes":99}}`)
		must.NoError(t, err)
		test.Eq(t, fold.Refused, v.Result)
		test.Eq(t, "Limits.MaxStrikes", v.Problems[0].Path)
		test.Eq(t, 0, l.Appends())
	})
}

func TestNewFollowerStartsFromSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		f, _ := startFollower(t, l)
		for i := range 3 {
			_, err := submit(f, string(rune('a'+i)), ident.Version(i), `{}`)
			must.NoError(t, err)
		}
		// Longer than SnapshotEvery and its random delay together.
		time.Sleep(3 * time.Minute)
		l.DropBefore(messg.ConfigStream, 3)
		fresh, _ := startFollower(t, l)
		time.Sleep(time.Second)
		v, _ := fresh.Current()
		test.Eq(t, 3, v)
		got, err := submit(fresh, "d", 3, `{}`)
		must.NoError(t, err)
		test.Eq(t, fold.Accepted, got.Result)
	})
}

func TestNewFollowerRestoresPeerSnapshotDuringLogOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		f, _ := startFollower(t, l)
		_, err := submit(f, "a", 0, `{}`)
		must.NoError(t, err)
		l.SetDown(true)
		fresh, _ := startFollower(t, l)
		time.Sleep(time.Second)
		test.False(t, fresh.Ready())
		fresh.Restore(f.ConfigReply().Snapshot)
		test.True(t, fresh.Ready())
		v, _ := fresh.Current()
		test.Eq(t, 1, v)
		l.SetDown(false)
		time.Sleep(time.Second)
		got, err := submit(fresh, "b", 1, `{}`)
		must.NoError(t, err)
		test.Eq(t, 2, got.Version)
	})
}

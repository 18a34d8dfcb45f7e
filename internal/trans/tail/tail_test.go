package tail_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test"

	"laburnumstack.org/laburnum/internal/lab/memlog"
	"laburnumstack.org/laburnum/internal/proto/messg"
	"laburnumstack.org/laburnum/internal/trans/tail"
)

func TestInvalidRecordIsSkippedAndNotReadAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &memlog.Log{}
		for _, s := range []string{`1`, `{`, `2`} {
			l.Append(context.Background(), "s", []byte(s))
		}
		var got []int
		reads := 0
		f := tail.Follower{Log: l, Stream: "s", OnRead: func(error) { reads++ }, Apply: func(p messg.Page) {
			tail.DecodeEach(p, zerolog.Nop(), func(_ messg.Record, v int) { got = append(got, v) })
		}}
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		f.Run(ctx)
		test.Eq(t, []int{1, 2}, got)
		// The first read returns all records. Each later one waits 2 s for more,
		// so that only a few fit into the 5 s unless a record is read again.
		test.LessEq(t, 4, reads)
	})
}

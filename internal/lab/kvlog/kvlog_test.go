package kvlog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/pkg/ident"
)

func record(key, value string) Record { return Record{Key: key, Value: []byte(value)} }

// newestValues returns the newest values of a topic by key.
func newestValues(s *Store, topic string) map[string]string {
	values := map[string]string{}
	for _, r := range s.Newest(topic).Records {
		values[r.Key] = string(r.Value)
	}
	return values
}

// Guards against soaks that test less than they say, since losses leave what they should remove
// or remove what was deleted from the log before.
func TestLostRecordsAreGone(t *testing.T) {
	s := &Store{}
	s.Append("t", record("a", "1"), record("b", "1"))
	s.Trim("t")
	s.Append("t", record("c", "1"), record("a", "2"), record("b", ""))
	test.Eq(t, map[string]string{"a": "2", "c": "1"}, newestValues(s, "t"))
	s.Lose(2)
	test.Eq(t, map[string]string{"c": "1"}, newestValues(s, "t"), test.Sprint("older records of a and b are deleted"))
	p := s.Append("t", record("d", "1"))
	test.Eq(t, Page{First: 2, End: 4, Era: 2, Records: []Record{{Key: "d", Value: []byte("1"), Offset: 3}}}, p)
	s.Lose(9)
	test.MapEmpty(t, newestValues(s, "t"))
	test.Eq(t, 2, s.Append("t", record("e", "1")).Records[0].Offset)
}

// Guards against readers that miss a record which comes while they wait, or wait for ever.
func TestReadWaitsForTheFirstRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &Store{}
		ctx := context.Background()
		began := time.Now()
		p, err := s.Read(ctx, "t", 0, time.Second)
		must.NoError(t, err)
		test.Eq(t, Page{Era: 1}, p)
		test.Eq(t, time.Second, time.Since(began))
		time.AfterFunc(time.Second, func() { s.Append("t", record("a", "1")) })
		p, err = s.Read(ctx, "t", 0, time.Minute)
		must.NoError(t, err)
		test.SliceLen(t, 1, p.Records)
		test.Eq(t, 2*time.Second, time.Since(began))
		for _, from := range []ident.Offset{-1, 2} {
			_, err = s.Read(ctx, "t", from, time.Minute)
			test.ErrorIs(t, err, ErrNotKept)
		}
		s.Trim("t")
		_, err = s.Read(ctx, "t", 0, 0)
		test.ErrorIs(t, err, ErrNotKept)
	})
}

package memory

import "sync/atomic"

// Counter bounds a total size in bytes, for example that of the request bodies in memory. The
// zero value is empty. It is safe for concurrent use.
type Counter struct {
	used atomic.Int64
}

// Reserve adds n bytes and reports whether the limit allowed it.
func (c *Counter) Reserve(n, limit int64) bool {
	if c.used.Add(n) > limit {
		c.used.Add(-n)
		return false
	}
	return true
}

// Release takes n bytes away.
func (c *Counter) Release(n int64) { c.used.Add(-n) }

// Used returns the number of bytes.
func (c *Counter) Used() int64 { return c.used.Load() }

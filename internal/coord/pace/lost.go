package pace

import (
	"time"

	"laburnumstack.org/laburnum/internal/coord/quota"
)

// lostTime is how long it is remembered that an endpoint was lost. It is longer than the longest
// time for which endpoints are avoided.
const lostTime = 30 * time.Second

// Lost holds the endpoints that could not be reached or were silent, and have not been used since.
// Slow start begins when they are used again, unless they have run all the time. It is not safe for
// concurrent use.
type Lost struct {
	at map[quota.Key]time.Time
}

// Len returns the number of lost endpoints.
func (l *Lost) Len() int { return len(l.at) }

// Record records that an endpoint could not be reached or was silent.
func (l *Lost) Record(k quota.Key, now time.Time) {
	if l.at == nil {
		l.at = map[quota.Key]time.Time{}
	}
	l.at[k] = now
}

// Clear records that an endpoint has run all the time.
func (l *Lost) Clear(k quota.Key) { delete(l.at, k) }

// Observe records that a request had its first event. If it was sent before the endpoint was
// lost, and the event isn't older than that, the endpoint has not started since.
func (l *Lost) Observe(k quota.Key, sentAt, now time.Time) {
	if at, ok := l.at[k]; ok && sentAt.Before(at) && now.Sub(at) > tellTime {
		delete(l.at, k)
	}
}

// Return records that an endpoint is used again, and reports whether it was lost.
func (l *Lost) Return(k quota.Key, now time.Time) bool {
	at, ok := l.at[k]
	delete(l.at, k)
	return ok && now.Sub(at) < lostTime
}

// Expire forgets the endpoints that are gone or were lost long ago.
func (l *Lost) Expire(now time.Time, exists func(quota.Key) bool) {
	for k, at := range l.at {
		if now.Sub(at) >= lostTime || !exists(k) {
			delete(l.at, k)
		}
	}
}

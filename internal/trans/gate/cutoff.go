package gate

import (
	"sync"
	"time"
)

// cutoffTimeout bounds the time for the last responses before the process ends.
const cutoffTimeout = 100 * time.Millisecond

// replyState is how far the response to a request is.
type replyState = int32

const (
	// noRequest means that no request has been read whole.
	noRequest replyState = iota
	replyAwaited
	replyBegun
	// replyCutOff means that the request was answered since the process ends.
	replyCutOff
)

// beginReply reports whether the request that is served may be responded to.
func (c *callerConn) beginReply() bool {
	return c.reply.Load() == replyBegun || c.reply.CompareAndSwap(replyAwaited, replyBegun)
}

// cutOff answers the request that is served, if its response has not begun: it may have
// run, and its response would come after the end of the process.
func (c *callerConn) cutOff(deadline time.Time) {
	if !c.reply.CompareAndSwap(replyAwaited, replyCutOff) {
		return
	}
	c.server.getMetrics().requests.WithLabelValues("unknown", "502").Inc()
	c.server.requestLog(false).Int("status", 502).Msg("gate: cut off a request, the process ends")
	c.SetWriteDeadline(deadline)
	c.Write(emptyResponse(502, 0, true))
}

// cutOffAll answers the requests whose response has not begun.
func (s *Server) cutOffAll() {
	deadline := time.Now().Add(cutoffTimeout)
	var wg sync.WaitGroup
	defer wg.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		wg.Go(func() { c.cutOff(deadline) })
	}
}

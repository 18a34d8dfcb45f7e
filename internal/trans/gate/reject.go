package gate

import (
	"strconv"
	"time"

	"github.com/juju/errors"
)

const (
	// retrySoon is the Retry-After of most rejections. It is short, since
	// another node may accept the request.
	retrySoon = 200 * time.Millisecond
	// retryElsewhere is the Retry-After of a node that stops, since others serve.
	retryElsewhere = 50 * time.Millisecond
	// retryLater is the Retry-After if memory could not be reserved. It leaves
	// time for the load to go down.
	retryLater = 700 * time.Millisecond
)

// errCrashesEndpoints means that several endpoints crashed while they ran the request, or others
// with a part of it.
const errCrashesEndpoints = errors.ConstError("request has crashed several endpoints")

// errResting means that all endpoints which could serve the request want none of this node
// for a time.
const errResting = errors.ConstError("endpoints want no requests of this node for a time")

// errUnreserved means that engines did not reserve the memory for a prompt.
const errUnreserved = errors.ConstError("memory could not be reserved")

// reject ends the request with a response of this node. If the response header
// has already been sent, it marks the connection to be closed instead, so that
// the caller sees a truncated response.
func (x *exchange) reject(status int, retryAfter time.Duration, reason string) {
	e := x.server.requestLog(false).Str("request", x.reqHeader.ID).Int("status", status).Str("why", reason).
		Dur("after", time.Since(x.arrived)).Int("sends", x.sends).Int64("prompt", int64(x.reqHeader.Prompt)).Dur("estimate", x.estimate).Dur("retryAfter", retryAfter)
	if x.reqHeader.Prompt > 0 {
		e = x.addLoad(e.Dur("backlog", x.load.Backlog))
	}
	if x.route != nil {
		e = e.Dur("waited", x.waitedBefore()).Str("route", string(x.route.Name)).Uint64("version", uint64(x.catalog.Version)).Dur("age", ageOf(x.server.Feeds.CatalogConfirmedAt()))
	}
	if x.homes.Binds() {
		e = e.Strs("homes", x.homeNames())
	}
	e.Msg("gate: refused")
	x.recordUnserved()
	if x.headerSent {
		x.countRequestEnd("cut")
	} else {
		x.countRequestEnd(strconv.Itoa(status))
	}
	if x.headerSent {
		x.closing = closeCut
		return
	}
	x.writeToCaller(emptyResponse(status, retryAfter, x.announcesClose()))
}

// announcesClose decides whether the caller's connection is closed after the response, whose
// header tells the caller so. It is called when that header is written.
func (x *exchange) announcesClose() bool {
	x.announcedClose = x.request.Close || x.server.Draining()
	return x.announcedClose
}

func (x *exchange) writeToCaller(pieces ...[]byte) bool {
	if !x.caller.beginReply() {
		x.closing = closeEnd
		return false
	}
	if err := x.caller.write(pieces...); err != nil {
		x.closing = closeWrite
		return false
	}
	return true
}

// write writes to the caller within writeTimeout. The deadline of the write before may be over.
func (c *callerConn) write(pieces ...[]byte) error {
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	for _, b := range pieces {
		if _, err := c.Write(b); err != nil {
			return err
		}
	}
	return nil
}

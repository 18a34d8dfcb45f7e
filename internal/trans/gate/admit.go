package gate

import (
	"fmt"
	"math"
	"time"

	"laburnumstack.org/laburnum/internal/state/clock"
	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// revokeMargin is subtracted from MaxConfigAge, so that revoked keys are
	// rejected before that age is reached.
	revokeMargin = 300 * time.Millisecond
	// staleAfter is the age of the configuration above which a request with an
	// unknown route or key gets status 503, since a newer configuration may
	// contain it.
	staleAfter = 3500 * time.Millisecond
	// defaultTimeout bounds a request if neither its route nor the caller sets
	// a limit.
	defaultTimeout = 30 * time.Second
)

// admit finds the route, workspace and service of the request. If the request
// can't be served, it rejects it and returns false.
func (x *exchange) admit() bool {
	s := x.server
	s.awaitState()
	var confirmedAt clock.Instant
	x.catalog, confirmedAt = s.Feeds.ConfirmedCatalog()
	endpoints := s.Feeds.Endpoints()
	if x.catalog == nil || endpoints == nil || !s.Feeds.EvacuationsKnown() {
		x.reject(503, retrySoon, "no configuration yet")
		return false
	}
	var err error
	x.reqHeader, err = s.Dialect.ParseRequest(&x.request.Head)
	if err != nil {
		x.reject(400, 0, err.Error())
		return false
	}
	age := ageOf(confirmedAt)
	x.route = x.catalog.Match(x.request.Host, x.request.Path())
	if x.route == nil {
		x.rejectUnknown(404, age, "no matching route")
		return false
	}
	if !x.authorize(age) {
		return false
	}
	x.service = x.catalog.Services[x.route.PickService(random())]
	if x.service == nil {
		x.reject(503, retrySoon, "route has no service")
		return false
	}
	limit := x.route.Timeout
	if x.reqHeader.TimeLeft > 0 && (limit <= 0 || x.reqHeader.TimeLeft < limit) {
		limit = x.reqHeader.TimeLeft
	}
	if limit <= 0 {
		limit = defaultTimeout
	}
	x.deadline = x.arrived.Add(limit)
	x.homes = x.homeRule()
	if x.hasNoHome() {
		x.rejectUnplaced(errNoHome, retryHome)
		return false
	}
	if x.mayOutliveNode(time.Now(), 0) {
		x.reject(503, retryElsewhere, errStopping.Error())
		return false
	}
	x.position.lastID = x.reqHeader.LastEvent
	x.tried = ident.Set[ident.EndpointName]{}
	x.unreservedEngines = ident.Set[ident.EndpointName]{}
	s.countRequest(x.service.Name)
	return true
}

// authorize looks up the workspace of the caller's key, unless the route is
// public. If the key is unknown, or the configuration is so old that the key may
// have been revoked, it rejects the request and returns false.
func (x *exchange) authorize(age time.Duration) bool {
	if x.catalog.Keys == nil || x.route.Public {
		return true
	}
	if x.server.StrictRevocation && age > x.server.MaxConfigAge-revokeMargin {
		x.rejectUnconfirmed("configuration is too old to trust keys, age " + age.String())
		return false
	}
	w, ok := x.catalog.Keys[x.reqHeader.Key]
	if !ok {
		x.rejectUnknown(401, age, "unknown key")
		return false
	}
	x.workspace = w
	return true
}

// rejectUnknown rejects a request whose route or key is not in the
// configuration. If the configuration is old, the status is 503, since a newer
// one may contain it.
func (x *exchange) rejectUnknown(status int, age time.Duration, reason string) {
	if age > staleAfter {
		x.rejectUnconfirmed(reason + " in a configuration of age " + age.String())
		return
	}
	x.reject(status, 0, reason)
}

// rejectUnconfirmed rejects a request because the configuration was last confirmed too long ago.
func (x *exchange) rejectUnconfirmed(reason string) {
	if wait := x.server.Feeds.ConfirmWait(clock.Now()); wait > 0 {
		x.reject(503, wait, fmt.Sprintf("%s, the store lost records at the beginning of era %d", reason, x.server.Feeds.Era()))
		return
	}
	x.reject(503, retrySoon, reason)
}

// ageOf returns the time since a configuration was last confirmed. If it never was, the instant is
// zero and the age the longest one.
func ageOf(confirmedAt clock.Instant) time.Duration {
	if confirmedAt == 0 {
		return math.MaxInt64
	}
	return clock.Now().Sub(confirmedAt)
}

package gate

import (
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// result is how a send ended.
type result int

const (
	// notSent means that no byte can have reached the endpoint.
	notSent result = iota
	// superseded means that another endpoint answered while this one was silent.
	superseded
	// cancelled means that another endpoint answered first.
	cancelled
	// evacuated means that nothing was sent since a data centre was evacuated meanwhile.
	evacuated
	// unreserved means that KV memory could not be reserved.
	unreserved
	// refused means that the endpoint reported that it did not run the
	// request.
	refused
	// unanswered means that the endpoint may have run the request, but there
	// is no complete and valid response.
	unanswered
	// unusable means that the endpoint answered, but the answer can't be passed on: it does not
	// continue the stream that the caller has begun to receive, or it promises that the request
	// has not run although another send may have run it.
	unusable
	// failed means that the endpoint responded with a status of 500 or above.
	failed
	// complete means that the response was passed on to the caller. It is also
	// the result if writing to the caller failed.
	complete
)

// mayHaveRun reports whether the endpoint may have run the request.
func (r result) mayHaveRun() bool {
	switch r {
	case superseded, cancelled, unanswered, unusable, failed:
		return true
	}
	return false
}

func (r result) String() string {
	return [...]string{"not-sent", "superseded", "cancelled", "evacuated", "unreserved", "refused", "unanswered", "unusable", "failed", "complete"}[r]
}

// outcome describes how one send ended.
type outcome struct {
	result result
	reason string
	status int
	// response is the endpoint's refusal or error, which the caller gets if the request
	// is not sent again.
	response *wholeResponse
	// unreservedEngines are those at which memory could not be reserved, with the reasons.
	unreservedEngines map[ident.EndpointName]error
	// isWholeAnswer is set if the endpoint ran the request and answered to the end, whole if
	// that answer was a success and was passed on, framed if its end was marked by more than
	// the end of the connection.
	isWholeAnswer, whole, framed bool
	// connBroken is set if the endpoint broke the connection.
	connBroken bool
	// timedOut is set if the rest of the answer did not arrive in time.
	timedOut bool
	// linkLost is set if the send failed for reasons that lie between this node and the
	// endpoint: its link is lost, or, with peerLost, the peer over which it went.
	linkLost, peerLost bool
	// flooded is set if the endpoint sent more than an answer may have.
	flooded bool
	// rests is set if the endpoint stated that it wants no requests for a time.
	rests bool
	// faultAddress is the address of another endpoint that caused the failure,
	// empty if there is none.
	faultAddress string
	// startedAt is when the send began, timeToFirst the time from then to the
	// first event or the response header.
	startedAt   time.Time
	timeToFirst time.Duration
	// maxGap is the longest time between two writes of events to the caller.
	maxGap time.Duration
}

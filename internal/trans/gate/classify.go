package gate

import (
	"bytes"
	"fmt"
	"net/http"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/internal/trans/http1"
)

// answerKind is what an endpoint's answer to a send means.
type answerKind int

const (
	// finalAnswer is passed on to the caller unchanged.
	finalAnswer answerKind = iota
	// eventAnswer is a stream whose events are passed on as they arrive.
	eventAnswer
	// refusalAnswer states that the endpoint did not run the request.
	refusalAnswer
	// errorAnswer has a status of 500 or above.
	errorAnswer
	// unsignedAnswer is a success that may not come from an endpoint that ran the request.
	unsignedAnswer
	// unusableAnswer does not continue the stream that the caller has begun to receive.
	unusableAnswer
	// untrueNotRun states that the request has not run, but another send may have run it.
	untrueNotRun
)

// classify returns what the answer to a send means. If a part of a stream had been forwarded
// when the attempt began, only events can follow it.
func (a *attempt) classify(res *http1.Response, header relay.ResponseHeader) answerKind {
	isSuccess := res.Status/100 == 2
	switch {
	case header.NotRun:
		return refusalAnswer
	case res.Status >= http.StatusInternalServerError:
		return errorAnswer
	case isSuccess && !header.Signed:
		return unsignedAnswer
	case a.route.Kind == topol.Stream && carriesEvents(res):
		return eventAnswer
	case a.isResumed:
		return unusableAnswer
	case a.isRepeat && promisesNotRun(res.Status):
		return untrueNotRun
	}
	return finalAnswer
}

// carriesEvents reports whether the body of a response is a stream of events.
func carriesEvents(res *http1.Response) bool {
	contentType, _ := res.Get("Content-Type")
	mediaType, _, _ := bytes.Cut(contentType, []byte{';'})
	isEventType := bytes.EqualFold(bytes.TrimSpace(mediaType), []byte("text/event-stream"))
	return res.Status == http.StatusOK && res.Framing != http1.None && isEventType
}

// describe returns the reason for which an answer is not passed on.
func (k answerKind) describe(res *http1.Response) string {
	switch {
	case k == refusalAnswer && res.Status == http.StatusMisdirectedRequest:
		return "another endpoint has the address of the record"
	case k == refusalAnswer:
		return "endpoint refused"
	case k == errorAnswer:
		return "endpoint failed"
	case k == unsignedAnswer:
		return "response is not signed"
	case k == untrueNotRun:
		return fmt.Sprintf("response with status %d, but the request may have run", res.Status)
	}
	contentType, _ := res.Get("Content-Type")
	return fmt.Sprintf("response with status %d and type %q does not continue the stream", res.Status, contentType)
}

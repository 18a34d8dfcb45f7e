package gate

import (
	"net"
	"strconv"
	"time"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/trans/conns"
	"laburnumstack.org/laburnum/internal/trans/http1"
)

const (
	// maxInlineBody is the largest body in bytes that is written together with
	// the header before the response is read. Larger bodies are written while
	// the response is read.
	maxInlineBody = 16 << 10
	// lowestUrgency is the urgency of requests that wait for a slot. Those without a stated
	// urgency count as 5, so engines admit them first.
	lowestUrgency = 9
)

func (a *attempt) writeRequest() error {
	header := a.forwardedRequestHeader()
	if len(a.body) <= maxInlineBody {
		_, err := a.link.Write(append(header, a.body...))
		a.requestWritten.Store(err == nil)
		return err
	}
	a.upload = conns.NewUpload(a.link.Conn)
	go func() {
		b := net.Buffers{header, a.body}
		_, err := b.WriteTo(a.upload)
		a.requestWritten.Store(err == nil)
	}()
	return nil
}

// forwardedRequestHeader returns the header of the request as the endpoint gets it.
func (a *attempt) forwardedRequestHeader() []byte {
	r := a.request
	size := 1024
	if len(a.body) <= maxInlineBody {
		size += len(a.body)
	}
	b := make([]byte, 0, size)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\n"...)
	resumed := a.resumesAt.begun
	d := a.server.Dialect
	r.EndToEnd(func(f http1.Field) {
		if d.ForwardsField(f, resumed) {
			b = f.Append(b)
		}
	})
	fields := relay.ForwardHeader{Endpoint: a.choice.Primary.Name, TimeLeft: time.Until(a.deadline)}
	if a.workspace != nil {
		fields.Workspace = a.workspace.Name
	}
	if resumed {
		fields.LastEvent = a.resumesAt.lastID
	}
	if a.choice.Waits {
		fields.Urgency, fields.HasUrgency = lowestUrgency, true
	}
	for i, h := range a.choice.Helpers {
		helper := relay.Helper{Endpoint: h.Name, Address: h.Address}
		if a.reserved != nil && i < len(a.reserved.ids) {
			helper.ReservationID = a.reserved.ids[i]
		}
		fields.Helpers = append(fields.Helpers, helper)
	}
	b = d.AppendFields(b, fields)
	if r.Framing != http1.None {
		b = http1.AppendField(b, "Content-Length", strconv.Itoa(len(a.body)))
	}
	return append(b, "\r\n"...)
}

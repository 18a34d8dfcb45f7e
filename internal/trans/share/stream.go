package share

import (
	"bufio"
	"context"
	"encoding/gob"
	"net"
	"time"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/internal/trans/conns"
)

// streamPreamble is the first byte of a stream of updates. A connection for net/rpc
// never begins with it.
const streamPreamble byte = 0x82

// streamTimeout is the silence after which a node closes the stream of its hub, which
// then opens another one.
const streamTimeout = 3 * heartbeatInterval

// streamAckTimeout bounds how long sent bytes of a stream may remain unacknowledged, so
// that a hub replaces a connection that has gone silent.
const streamAckTimeout = 3 * heartbeatInterval / 2

// updateStream opens a stream to the peer if it is one of the group of this hub, and closes
// it if it no longer is. It returns an error if the stream failed.
func (p *peer) updateStream(ctx context.Context) error {
	p.mu.Lock()
	o, wanted := p.outlet, p.grouped && p.Streams
	p.mu.Unlock()
	switch {
	case o == nil && wanted:
		return p.openStream(ctx)
	case o != nil && !wanted:
		p.closeStream(o)
	case o != nil:
		return o.failure()
	}
	return nil
}

// closeStream closes the stream to the peer. If the peer still gets updates directly, its state
// is queued anew, as changes may be lost with the frames that were not written.
func (p *peer) closeStream(o *outlet) {
	p.mu.Lock()
	p.outlet = nil
	direct := p.direct
	p.mu.Unlock()
	p.mesh.fanout.leave(o)
	if direct {
		p.queueState()
		p.queueKnowledge()
	}
}

// openStream opens a stream to the peer. Its frames wait until releaseStream, so that they
// follow the pending update.
func (p *peer) openStream(ctx context.Context) error {
	d := net.Dialer{Timeout: dialTimeout, Control: conns.TCPUserTimeout(streamAckTimeout)}
	c, err := d.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return err
	}
	if _, err := c.Write([]byte{streamPreamble}); err != nil {
		c.Close()
		return err
	}
	o := p.mesh.fanout.join(c)
	p.mu.Lock()
	p.outlet = o
	p.mu.Unlock()
	go o.write(p.wakeUp)
	return nil
}

// releaseStream lets the frames of the stream, if there is one, be written.
func (p *peer) releaseStream() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outlet != nil {
		p.outlet.release()
	}
}

// serveStream accepts the updates that a hub sends as a stream.
func (m *Mesh) serveStream(ctx context.Context, c net.Conn, r *bufio.Reader) {
	defer c.Close()
	d := gob.NewDecoder(r)
	for ctx.Err() == nil {
		c.SetReadDeadline(time.Now().Add(streamTimeout))
		var u relay.Update
		if err := d.Decode(&u); err != nil {
			m.Logger.Debug().Err(err).Str("address", c.RemoteAddr().String()).Msg("share: stream of a hub ended")
			return
		}
		// The first update only describes the types.
		if u.From.Name != "" {
			m.stats.framesReceived.Add(1)
			m.accept(&u)
			m.markFrame(u.From.Address)
		}
	}
}

// markFrame records that a frame came from the node at an address.
func (m *Mesh) markFrame(address string) {
	if p := m.peerAt(address); p != nil {
		p.mu.Lock()
		p.frameAt = time.Now()
		p.mu.Unlock()
	}
}

package share

import (
	"bytes"
	"encoding/gob"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/proto/relay"
)

const (
	// groupDelayPerNode and maxGroupDelay set how long a hub collects updates for its
	// group: the delay grows with the fleet, so that the rate at which a node receives
	// them does not.
	groupDelayPerNode = 80 * time.Microsecond
	maxGroupDelay     = 20 * time.Millisecond
	// maxQueuedFrames bounds the frames that wait for a slow node. A node with more
	// gets the whole state anew.
	maxQueuedFrames = 128
	// frameTimeout bounds the writing of a frame.
	frameTimeout = 700 * time.Millisecond
)

// errSlowPeer means that a node reads its stream too slowly.
const errSlowPeer = errors.ConstError("the peer reads too slowly")

// fanout sends the updates of a hub to its group. Each frame is encoded once for all
// nodes of the group.
type fanout struct {
	// setSender sets the sender of an update, delay returns how long updates are collected.
	setSender func(*relay.Update)
	delay     func() time.Duration
	// sent is called with the size of each frame and the number of its receivers.
	sent func(frameBytes, receivers int)

	mu      sync.Mutex
	pending relay.Update
	// timer flushes the pending update at the time due.
	timer *time.Timer
	due   time.Time
	// encoder writes to frame. Its first output, in header, describes the types and goes
	// first on each stream.
	encoder *gob.Encoder
	frame   bytes.Buffer
	header  []byte
	outlets map[*outlet]struct{}
}

// outlet is the outgoing stream to one node of the group.
type outlet struct {
	conn   net.Conn
	frames chan []byte
	// released is closed when the frames may be written.
	released               chan struct{}
	releaseOnce, closeOnce sync.Once
	closed                 chan struct{}
	err                    error
}

// join adds a connection to the group. Nothing is written to it until release.
func (f *fanout) join(c net.Conn) *outlet {
	o := &outlet{conn: c, frames: make(chan []byte, maxQueuedFrames), released: make(chan struct{}), closed: make(chan struct{})}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.encoder == nil {
		f.start()
	}
	o.frames <- f.header
	f.outlets[o] = struct{}{}
	f.schedule(heartbeatInterval)
	return o
}

// start creates the encoder. The caller holds f.mu.
func (f *fanout) start() {
	f.outlets = map[*outlet]struct{}{}
	f.encoder = gob.NewEncoder(&f.frame)
	f.header = f.encode(&relay.Update{})
}

// encode returns the encoding of an update for nodes that have read the header. The
// caller holds f.mu.
func (f *fanout) encode(u *relay.Update) []byte {
	f.frame.Reset()
	if err := f.encoder.Encode(u); err != nil {
		// All types of an update can be encoded.
		panic(err)
	}
	return bytes.Clone(f.frame.Bytes())
}

// leave removes a stream and closes its connection.
func (f *fanout) leave(o *outlet) {
	f.mu.Lock()
	delete(f.outlets, o)
	f.mu.Unlock()
	o.close(net.ErrClosed)
}

// queue adds a change to the next frame. An urgent one is sent within delay, others
// within nonUrgentDelay.
func (f *fanout) queue(urgent bool, add func(*relay.Update)) {
	wait := nonUrgentDelay
	if urgent {
		wait = f.delay()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.outlets) == 0 {
		return
	}
	add(&f.pending)
	f.schedule(wait)
}

// schedule makes flush run after a time at the latest. The caller holds f.mu.
func (f *fanout) schedule(wait time.Duration) {
	due := time.Now().Add(wait)
	switch {
	case f.timer == nil:
		f.timer = time.AfterFunc(wait, f.flush)
	case f.due.IsZero() || due.Before(f.due):
		f.timer.Reset(wait)
	default:
		return
	}
	f.due = due
}

// flush sends the pending update, or an empty one as a heartbeat, to all streams.
func (f *fanout) flush() {
	var u relay.Update
	f.setSender(&u)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.due = time.Time{}
	if len(f.outlets) == 0 {
		f.pending = relay.Update{}
		return
	}
	f.pending.From = u.From
	u, f.pending = f.pending, relay.Update{}
	replaceTimes(&u, time.Now())
	frame := f.encode(&u)
	for o := range f.outlets {
		select {
		case o.frames <- frame:
		default:
			o.close(errSlowPeer)
		}
	}
	f.sent(len(frame), len(f.outlets))
	f.schedule(heartbeatInterval)
}

// release lets write begin. It may be called repeatedly.
func (o *outlet) release() { o.releaseOnce.Do(func() { close(o.released) }) }

// close ends write and closes the connection.
func (o *outlet) close(err error) {
	o.closeOnce.Do(func() {
		o.err = err
		close(o.closed)
		o.conn.Close()
	})
}

// write writes the frames to the connection until it fails or is closed. It calls failed
// at the end.
func (o *outlet) write(failed func()) {
	defer failed()
	select {
	case <-o.released:
	case <-o.closed:
		return
	}
	for {
		select {
		case <-o.closed:
			return
		case frame := <-o.frames:
			o.conn.SetWriteDeadline(time.Now().Add(frameTimeout))
			if _, err := o.conn.Write(frame); err != nil {
				o.close(err)
				return
			}
		}
	}
}

// failure returns why the stream ended; nil while it is open.
func (o *outlet) failure() error {
	select {
	case <-o.closed:
		return o.err
	default:
		return nil
	}
}

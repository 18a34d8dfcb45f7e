package share

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

// stats counts what a mesh exchanges with other nodes.
type stats struct {
	// callsMade and callsServed are calls of and by other nodes; those served count updates
	// only.
	callsMade, callsServed atomic.Uint64
	// updatesReceived are updates of nodes, received from them or through other nodes.
	updatesReceived atomic.Uint64
	// framesSent and frameBytes are counted at each receiver.
	framesSent, framesReceived, frameBytes atomic.Uint64
}

// frameSent counts a frame and its receivers.
func (s *stats) frameSent(frameBytes, receivers int) {
	s.framesSent.Add(uint64(receivers))
	s.frameBytes.Add(uint64(frameBytes * receivers))
}

// Register registers the metrics of the mesh.
func (m *Mesh) Register(r prometheus.Registerer) {
	for _, c := range []struct {
		name, help string
		value      *atomic.Uint64
	}{
		{"laburnum_peer_calls_made_total", "Calls of other nodes.", &m.stats.callsMade},
		{"laburnum_peer_calls_served_total", "Updates of other nodes received by calls.", &m.stats.callsServed},
		{"laburnum_peer_updates_received_total", "Updates of nodes, received from them or over others.", &m.stats.updatesReceived},
		{"laburnum_peer_frames_sent_total", "Frames sent on streams, counted at each receiver.", &m.stats.framesSent},
		{"laburnum_peer_frames_received_total", "Frames received on streams of hubs.", &m.stats.framesReceived},
		{"laburnum_peer_frame_bytes_total", "Bytes of the frames sent on streams.", &m.stats.frameBytes},
	} {
		r.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Name: c.name, Help: c.help}, func() float64 { return float64(c.value.Load()) }))
	}
	r.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "laburnum_peer_links", Help: "Nodes to which this node is connected."}, func() float64 {
		return float64(len(m.ConnectedAddresses()))
	}))
}

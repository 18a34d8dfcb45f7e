package share

import (
	"github.com/prometheus/client_golang/prometheus"
)

// stats holds the metrics of a mesh.
type stats struct {
	callsMade, callsServed, updatesReceived, framesReceived, framesSent, frameBytes prometheus.Counter
	links                                                                           prometheus.GaugeFunc
}

func newStats(m *Mesh) stats {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	return stats{
		callsMade:       counter("laburnum_peer_calls_made_total", "Calls of other nodes."),
		callsServed:     counter("laburnum_peer_calls_served_total", "Updates of other nodes received by calls."),
		updatesReceived: counter("laburnum_peer_updates_received_total", "Updates of nodes received directly or over others."),
		framesReceived:  counter("laburnum_peer_frames_received_total", "Frames received on streams of hubs."),
		framesSent:      counter("laburnum_peer_frames_sent_total", "Frames sent on streams, counted at each receiver."),
		frameBytes:      counter("laburnum_peer_frame_bytes_total", "Bytes of the frames sent on streams."),
		links: prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "laburnum_peer_links", Help: "Nodes to which this node is connected."}, func() float64 {
			return float64(len(m.ConnectedAddresses()))
		}),
	}
}

// frameSent counts a frame and its receivers.
func (s *stats) frameSent(frameBytes, receivers int) {
	s.framesSent.Add(float64(receivers))
	s.frameBytes.Add(float64(frameBytes * receivers))
}

// Register registers the metrics of the mesh.
func (m *Mesh) Register(r prometheus.Registerer) {
	s := &m.stats
	r.MustRegister(s.callsMade, s.callsServed, s.updatesReceived, s.framesReceived, s.framesSent, s.frameBytes, s.links)
}

package share

import (
	"time"

	"laburnumstack.org/laburnum/internal/coord/pace"
	"laburnumstack.org/laburnum/pkg/ident"
)

// PaceMembers returns the nodes that share the requests to cold and starting endpoints.
// IsInformed is set if a peer has told its name.
func (m *Mesh) PaceMembers(now time.Time) pace.Members {
	ms := pace.Members{Self: ident.NodeName(m.Self.Address), Alive: len(m.aliveNodes(now))}
	ms.Known = append(ms.Known, ms.Self)
	for _, p := range m.allPeers() {
		ms.Known = append(ms.Known, ident.NodeName(p.address))
		ms.IsInformed = ms.IsInformed || p.name() != ""
	}
	return ms
}

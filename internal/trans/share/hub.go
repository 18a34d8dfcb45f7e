package share

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumstack.org/laburnum/internal/proto/relay"
	"laburnumstack.org/laburnum/pkg/ident"
)

// DefaultHubsFrom is the default of Mesh.HubsFrom.
const DefaultHubsFrom = 24

// hubs reports whether works go to other data centres through one node each.
func (m *Mesh) hubs() bool { return m.HubsFrom > 0 && m.Nodes() >= m.HubsFrom }

// chooseHubs chooses the peers that are told directly: all in this data centre,
// and one that is alive in each other. The choices of all nodes together spread
// over the nodes of a data centre.
func (m *Mesh) chooseHubs(now time.Time) {
	ps := m.all()
	hubs := m.hubs()
	alive := map[ident.DataCentre][]*peer{}
	for _, p := range ps {
		p.mu.Lock()
		if p.client != nil && now.Sub(p.heard) < readerAlive {
			alive[p.centre] = append(alive[p.centre], p)
		}
		p.mu.Unlock()
	}
	chosen := map[*peer]bool{}
	for c, list := range alive {
		if c == "" || c == m.Self.DataCentre {
			continue
		}
		slices.SortFunc(list, func(a, b *peer) int { return compareText(a.address, b.address) })
		chosen[list[xxhash.Sum64String(string(m.Self.Name))%uint64(len(list))]] = true
	}
	for _, p := range ps {
		p.mu.Lock()
		told := !hubs || p.centre == "" || p.centre == m.Self.DataCentre || chosen[p]
		if told && !p.told && p.client != nil {
			p.pending = m.whole(true)
		}
		p.told = told
		p.hub = hubs && chosen[p]
		p.mu.Unlock()
	}
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// pass passes an update on to the nodes of this data centre. The ages of its
// works were turned into times by apply.
func (m *Mesh) pass(u relay.Update) {
	u.Forward = false
	for _, p := range m.all() {
		p.mu.Lock()
		near := p.centre == m.Self.DataCentre
		p.mu.Unlock()
		if !near {
			continue
		}
		copied := u
		copied.Began = slices.Clone(u.Began)
		copied.Struck = slices.Clone(u.Struck)
		p.tell(func(to *relay.Update) { to.Forwarded = append(to.Forwarded, copied) })
	}
}

package topol

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Errors of Apply.
const (
	// ErrOtherBase means that a change is meant for another catalog.
	ErrOtherBase = errors.ConstError("change has another base")
	// ErrDigest means that a change did not result in the catalog that it was made
	// for.
	ErrDigest = errors.ConstError("changed configuration has another digest")
)

// ChangeFormat identifies the fields of a Change and of what it contains, and the
// way in which digests are computed. Nodes exchange changes only if their formats
// are equal; it must be increased with each modification of either.
const ChangeFormat = 2

// ID identifies the content of a catalog. The zero ID is that of no catalog.
type ID struct {
	Version ident.Version
	// Digest is a hash of the content.
	Digest uint64
}

// KeyOwner is a caller's key with its workspace.
type KeyOwner struct {
	Key       string
	Workspace Workspace
}

// Change turns one catalog into another. Its size is in proportion to what differs
// between them.
type Change struct {
	// Base is the ID of the catalog that the change applies to; zero if the change
	// holds a complete catalog. Result is the ID of the resulting catalog.
	Base, Result ID
	// Routes, Services and Keys were added or differ from those in the base.
	Routes   []Route
	Services []Service
	Keys     []KeyOwner
	// RemovedRoutes, RemovedServices and RemovedKeys are in the base only.
	RemovedRoutes   []RouteKey
	RemovedServices []ident.ServiceName
	RemovedKeys     []string
	// NeedsKeys is set if callers need keys.
	NeedsKeys bool
	Limits    Limits
}

// ID returns the ID of a catalog; a nil catalog has the zero ID.
func (c *Catalog) ID() ID {
	if c == nil {
		return ID{}
	}
	c.digestOnce.Do(func() { c.digest = c.sum() })
	return ID{Version: c.Version, Digest: c.digest}
}

// Diff returns the change that turns a catalog into another one. The old catalog
// may be nil.
func Diff(old, c *Catalog) *Change {
	ch := &Change{Base: old.ID(), Result: c.ID(), NeedsKeys: c.Keys != nil, Limits: c.Limits}
	if old == nil {
		old = &Catalog{}
	}
	var a, b []byte
	for k, r := range c.Routes {
		if o := old.Routes[k]; o != r && (o == nil || !sameEncoding(r, o, &a, &b)) {
			ch.Routes = append(ch.Routes, *r)
		}
	}
	ch.RemovedRoutes = missingKeys(old.Routes, c.Routes)
	for n, s := range c.Services {
		if o := old.Services[n]; o != s && (o == nil || !sameEncoding(s, o, &a, &b)) {
			ch.Services = append(ch.Services, *s)
		}
	}
	ch.RemovedServices = missingKeys(old.Services, c.Services)
	for k, w := range c.Keys {
		if o := old.Keys[k]; o == nil || *o != *w {
			ch.Keys = append(ch.Keys, KeyOwner{Key: k, Workspace: *w})
		}
	}
	ch.RemovedKeys = missingKeys(old.Keys, c.Keys)
	return ch
}

// missingKeys returns the keys of a map that another one lacks.
func missingKeys[K comparable, V any](from, to map[K]V) []K {
	var ks []K
	for k := range from {
		if _, ok := to[k]; !ok {
			ks = append(ks, k)
		}
	}
	return ks
}

// sameEncoding reports whether two values have the same encoding. a and b are
// buffers.
func sameEncoding(x, y encoder, a, b *[]byte) bool {
	*a, *b = x.encode((*a)[:0]), y.encode((*b)[:0])
	return bytes.Equal(*a, *b)
}

// Apply returns the catalog that results from a change; c may be nil if the change
// holds a complete catalog. The result shares with c what the change leaves as it
// is. Errors wrap ErrOtherBase or ErrDigest.
func (c *Catalog) Apply(ch *Change) (*Catalog, error) {
	base := c
	if ch.Base == (ID{}) {
		base = nil
	}
	if base.ID() != ch.Base {
		return nil, errors.Annotatef(ErrOtherBase, "version %d with digest %x, not %d with %x", base.ID().Version, base.ID().Digest, ch.Base.Version, ch.Base.Digest)
	}
	if base == nil {
		base = &Catalog{}
	}
	next := &Catalog{Version: ch.Result.Version, Limits: ch.Limits, Routes: cloned(base.Routes), Services: cloned(base.Services)}
	digest := base.contentSum()
	digest += replace(next.Routes, ch.RemovedRoutes, ch.Routes, (*Route).Key)
	digest += replace(next.Services, ch.RemovedServices, ch.Services, func(s *Service) ident.ServiceName { return s.Name })
	if ch.NeedsKeys {
		next.Keys = cloned(base.Keys)
	}
	digest += next.replaceKeys(base, ch)
	next.digestOnce.Do(func() { next.digest = digest + next.frameSum() })
	if next.ID() != ch.Result {
		return nil, errors.Annotatef(ErrDigest, "version %d: %x, not %x", ch.Result.Version, next.ID().Digest, ch.Result.Digest)
	}
	return next, nil
}

func cloned[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return map[K]V{}
	}
	return maps.Clone(m)
}

// replace removes entries from a map and adds others. It returns by how much the
// sum of the hashes of all entries changes.
func replace[K comparable, V any, P interface {
	*V
	encoder
}](m map[K]P, removed []K, added []V, key func(P) K) uint64 {
	var diff uint64
	for _, k := range removed {
		if old, ok := m[k]; ok {
			diff -= hashOf(old)
		}
		delete(m, k)
	}
	for i := range added {
		p := P(&added[i])
		k := key(p)
		if old, ok := m[k]; ok {
			diff -= hashOf(old)
		}
		m[k] = p
		diff += hashOf(p)
	}
	return diff
}

// replaceKeys replaces the keys as replace does. Keys of the same workspace share
// it.
func (c *Catalog) replaceKeys(base *Catalog, ch *Change) uint64 {
	var diff uint64
	remove := func(k string) {
		if w, ok := base.Keys[k]; ok {
			diff -= hashOf(&KeyOwner{Key: k, Workspace: *w})
		}
	}
	for _, k := range ch.RemovedKeys {
		remove(k)
		delete(c.Keys, k)
	}
	shared := map[Workspace]*Workspace{}
	for _, w := range c.Keys {
		shared[*w] = w
	}
	for _, o := range ch.Keys {
		remove(o.Key)
		w := shared[o.Workspace]
		if w == nil {
			w = &o.Workspace
			shared[*w] = w
		}
		c.Keys[o.Key] = w
		diff += hashOf(&o)
	}
	return diff
}

// ShareWith replaces what is the same in another catalog by the other's, so that
// both need less memory. It must be called before c is in use.
func (c *Catalog) ShareWith(o *Catalog) {
	var a, b []byte
	for k, r := range c.Routes {
		if other := o.Routes[k]; other != nil && sameEncoding(r, other, &a, &b) {
			c.Routes[k] = other
		}
	}
}

// SortedRoutes returns the routes in the order of their names.
func (c *Catalog) SortedRoutes() []*Route {
	return slices.SortedFunc(maps.Values(c.Routes), func(a, b *Route) int { return cmp.Compare(a.Name, b.Name) })
}

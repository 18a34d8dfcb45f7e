package topol

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"
)

// encoder is a part of a catalog. Parts are equal if their encodings are.
type encoder interface {
	// encode appends the encoding to b.
	encode(b []byte) []byte
}

func appendString[S ~string](b []byte, s S) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

func appendInts[I ~int | ~int64](b []byte, ns ...I) []byte {
	for _, n := range ns {
		b = binary.AppendVarint(b, int64(n))
	}
	return b
}

func appendBool(b []byte, v bool) []byte {
	if v {
		return append(b, 1)
	}
	return append(b, 0)
}

func (r *Route) encode(b []byte) []byte {
	b = append(b, 'r')
	b = appendString(b, r.Name)
	b = appendString(b, r.Host)
	b = appendString(b, r.Prefix)
	b = appendInts(b, r.Kind)
	b = appendInts(b, r.Timeout, r.Target, r.Gap)
	b = appendInts(b, r.Priority, r.Attempts)
	b = appendBool(b, r.Public)
	b = appendBool(b, r.Resumable)
	b = appendString(b, r.Homes)
	for _, s := range r.Services {
		b = appendString(b, s.Service)
		b = appendInts(b, s.Weight)
	}
	return b
}

func (s *Service) encode(b []byte) []byte {
	b = append(b, 's')
	b = appendString(b, s.Name)
	b = appendInts(b, s.ColdStart)
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(s.ColdRate))
	if s.Engine == nil {
		return b
	}
	return fmt.Appendf(b, "%+v", *s.Engine)
}

func (o *KeyOwner) encode(b []byte) []byte {
	b = append(b, 'k')
	b = appendString(b, o.Key)
	b = appendString(b, o.Workspace.Name)
	b = appendInts(b, o.Workspace.Priority)
	b = appendBool(b, o.Workspace.HasPriority)
	return appendString(b, o.Workspace.Homes)
}

// encodedSize is the usual size of an encoded part in bytes.
const encodedSize = 256

func hashOf(e encoder) uint64 {
	var b [encodedSize]byte
	return xxhash.Sum64(e.encode(b[:0]))
}

// contentSum returns the sum of the hashes of all routes, services and keys, which
// does not depend on their order.
func (c *Catalog) contentSum() uint64 {
	return c.ID().Digest - c.frameSum()
}

// frameSum returns the hash of the rest of the catalog.
func (c *Catalog) frameSum() uint64 {
	return xxhash.Sum64String(fmt.Sprintf("%d %t %+v", c.Version, c.Keys != nil, c.Limits))
}

// sum returns the digest of the whole catalog.
func (c *Catalog) sum() uint64 {
	sum := c.frameSum()
	for _, r := range c.Routes {
		sum += hashOf(r)
	}
	for _, s := range c.Services {
		sum += hashOf(s)
	}
	for k, w := range c.Keys {
		sum += hashOf(&KeyOwner{Key: k, Workspace: *w})
	}
	return sum
}

package topol

import (
	"slices"
	"strings"
	"unicode"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/pkg/ident"
)

const (
	// maxHomes bounds the home regions of a route or a workspace, and maxRegionBytes the
	// length of each. Deployments have a few regions with short names.
	maxHomes       = 64
	maxRegionBytes = 128
	// homeEnd ends each region in a Homes. No region contains a control character.
	homeEnd = "\n"
)

// Homes is the set of home regions of a route or a workspace; the empty Homes is that of one
// without home regions. It holds the regions in order and once each, so that equal sets
// are equal values. It is a string since workspaces are compared, and are keys of maps.
//
// The empty region is legal. No data centre has it, so it differs from an empty set: it
// allows no endpoint.
type Homes string

// NewHomes returns the set of some regions. Errors wrap ErrInvalid.
func NewHomes(regions ...ident.Region) (Homes, error) {
	sorted := slices.Compact(slices.Sorted(slices.Values(regions)))
	if len(sorted) > maxHomes {
		return "", errors.Annotatef(ErrInvalid, "%d home regions", len(sorted))
	}
	var b strings.Builder
	for _, r := range sorted {
		if len(r) > maxRegionBytes || strings.ContainsFunc(string(r), unicode.IsControl) {
			return "", errors.Annotatef(ErrInvalid, "%s: too long or a control character", quoted("home region", string(r)))
		}
		b.WriteString(string(r))
		b.WriteString(homeEnd)
	}
	return Homes(b.String()), nil
}

// Regions returns the regions in order.
func (h Homes) Regions() []ident.Region {
	var regions []ident.Region
	for line := range strings.Lines(string(h)) {
		regions = append(regions, ident.Region(strings.TrimSuffix(line, homeEnd)))
	}
	return regions
}

// Has reports whether a region is in the set.
func (h Homes) Has(r ident.Region) bool {
	for line := range strings.Lines(string(h)) {
		if strings.TrimSuffix(line, homeEnd) == string(r) {
			return true
		}
	}
	return false
}

// validate returns an error if the set isn't one that NewHomes returns. kind and name are
// those of its owner.
func (h Homes) validate(kind, name string) error {
	if h == "" {
		return nil
	}
	valid, err := NewHomes(h.Regions()...)
	if err == nil && valid != h {
		err = errors.Annotate(ErrInvalid, "home regions are not in order")
	}
	if err != nil {
		return errors.Annotate(err, quoted(kind, name))
	}
	return nil
}

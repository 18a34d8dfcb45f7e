package relay

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"

	"github.com/juju/errors"

	"laburnumstack.org/laburnum/internal/state/topol"
	"laburnumstack.org/laburnum/pkg/ident"
)

// ErrChange means that an encoded change is invalid.
const ErrChange = errors.ConstError("invalid change of the configuration")

// maxChangeBytes limits the size of a change before compression.
const maxChangeBytes = 64 << 20

// ChangeArgs requests a part of an encoded change that leads to a newer
// configuration.
type ChangeArgs struct {
	From Member
	// Base is the ID of the configuration that the requesting node has; zero
	// requests a complete one.
	Base topol.ID
	// Wanted is the version to wait for if the peer doesn't have it yet.
	Wanted ident.Version
	// Hash identifies the encoded change of which the requesting node already has
	// the first Offset bytes; zero if it has none.
	Hash   uint64
	Offset int
}

// ChangePart is a part of an encoded change.
type ChangePart struct {
	// Base and Result are those of the change.
	Base, Result topol.ID
	// Hash identifies the encoded change and is the hash of its bytes. If it isn't
	// that of the request, the part is the beginning of another change.
	Hash uint64
	// Size is the size of the whole encoded change in bytes.
	Size int
	// Data is empty if the peer has no further part yet.
	Data []byte
}

// EncodeChange returns the compressed encoding of a change.
func EncodeChange(c *topol.Change) ([]byte, error) {
	var b bytes.Buffer
	z, err := flate.NewWriter(&b, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if err := gob.NewEncoder(z).Encode(c); err != nil {
		return nil, err
	}
	if err := z.Close(); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

// DecodeChange decodes what EncodeChange returned. Errors wrap ErrChange.
func DecodeChange(b []byte) (*topol.Change, error) {
	var c topol.Change
	z := flate.NewReader(bytes.NewReader(b))
	if err := gob.NewDecoder(io.LimitReader(z, maxChangeBytes)).Decode(&c); err != nil {
		return nil, errors.WithType(err, ErrChange)
	}
	return &c, nil
}

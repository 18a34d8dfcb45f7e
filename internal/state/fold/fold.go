// Package fold computes configuration versions from the records of the
// configuration stream. All readers of the same records compute the same
// versions, so that the verdict on a patch needs no agreement beyond the log.
package fold

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"

	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// maxVerdicts is the maximum number of verdicts kept for operators.
const maxVerdicts = 4096

// Errors of snapshots.
var (
	// ErrDigest means that the document of a snapshot doesn't match its digest.
	ErrDigest = errors.New("snapshot digest does not match its document")
	// ErrVersion means that the version of a snapshot is out of range.
	ErrVersion = errors.New("snapshot version is out of range")
)

// maxVersion bounds the version of a snapshot, so that those after it don't begin at zero
// again.
const maxVersion ident.Version = 1 << 62

// Fold is the state of one reader of the configuration stream: the
// configuration that follows from the records read so far, and the verdicts on
// the patches among them. It is not safe for concurrent use.
type Fold struct {
	version  ident.Version
	raw      []byte
	document *confg.Document
	// next is the offset of the first record not yet applied.
	next ident.Offset
	// based is set if version, raw and document are the configuration at offset
	// next, that is, if they are computed from a snapshot or from all records
	// since offset zero.
	based bool
	// firstAfterGap is the offset of the first record after the last gap in the
	// records read.
	firstAfterGap ident.Offset
	// pending holds the patches read since the last gap, while the fold is not
	// based.
	pending []pendingRecord
	// snapshotOffset is the offset of the newest snapshot record read. While
	// the fold is not based, only a snapshot that it installed counts.
	snapshotOffset ident.Offset
	history        []Verdict
	// byID maps patch IDs to indexes in history.
	byID map[ident.PatchID]int
}

type pendingRecord struct {
	offset ident.Offset
	record Record
}

// New returns a fold with an empty configuration. It becomes based with the
// record at offset zero, with a snapshot, or with SetOldest if no record was
// lost.
func New() *Fold {
	return &Fold{raw: []byte("{}"), document: &confg.Document{}, byID: map[ident.PatchID]int{}}
}

// Apply applies the record at the given offset and returns the verdicts on the
// patches that it decides. Records before the next offset are ignored. A record
// that can't be decoded is skipped.
func (f *Fold) Apply(at ident.Offset, data []byte) []Verdict {
	if at < f.next {
		return nil
	}
	if at == 0 {
		f.based = true
	}
	if at > f.next {
		f.skipTo(at)
	}
	f.next = at + 1
	var rec Record
	if err := json.Unmarshal(data, &rec); err != nil {
		return nil
	}
	if !f.based {
		return f.applyUnbased(at, rec)
	}
	if rec.Snapshot != nil {
		f.snapshotOffset = at
	}
	if rec.Patch == nil {
		return nil
	}
	return []Verdict{f.decide(at, rec.Patch)}
}

// skipTo continues at an offset after a gap, which arises when records are lost
// to retention. The version in force stays until a snapshot gives the version
// after the gap.
func (f *Fold) skipTo(at ident.Offset) {
	f.based = false
	f.firstAfterGap = at
	f.pending = nil
}

// applyUnbased keeps patches until a snapshot gives the version they apply to.
func (f *Fold) applyUnbased(at ident.Offset, rec Record) []Verdict {
	if rec.Patch != nil {
		f.pending = append(f.pending, pendingRecord{at, rec})
		return nil
	}
	if rec.Snapshot == nil || rec.Snapshot.Next < f.firstAfterGap {
		return nil
	}
	if rec.Snapshot.Version < f.version || f.install(*rec.Snapshot) != nil {
		return nil
	}
	f.snapshotOffset = at
	return f.replay(rec.Snapshot.Next)
}

// replay applies the pending records from the given offset on. The fold is
// based afterwards.
func (f *Fold) replay(from ident.Offset) []Verdict {
	var vs []Verdict
	for _, e := range f.pending {
		if e.offset >= from {
			vs = append(vs, f.decide(e.offset, e.record.Patch))
		}
	}
	f.pending = nil
	f.based = true
	return vs
}

// decide returns the verdict on a patch and, if it is accepted, puts the new
// version in force. The result depends only on the version and document so far,
// never on patch IDs, so that readers that started at different offsets agree.
func (f *Fold) decide(at ident.Offset, p *Patch) Verdict {
	v := Verdict{PatchID: p.ID, Offset: at, Base: p.Base, Author: p.Author, At: p.At, Version: f.version}
	if p.Base != f.version {
		v.Result = Stale
		return f.addVerdict(v)
	}
	raw, err := confg.Merge(f.raw, p.Merge)
	if err != nil {
		v.Result = Refused
		v.Problems = confg.Problems{{Path: "", Why: err.Error()}}
		return f.addVerdict(v)
	}
	doc, ps := confg.Parse(raw)
	if len(ps) > 0 {
		v.Result = Refused
		v.Problems = ps
		return f.addVerdict(v)
	}
	f.raw = raw
	f.document = doc
	f.version++
	v.Version = f.version
	v.Result = Accepted
	return f.addVerdict(v)
}

// addVerdict adds a verdict to the history and returns the one kept for its patch
// ID: of several verdicts with one ID, the accepted one, or else the first.
func (f *Fold) addVerdict(v Verdict) Verdict {
	if i, ok := f.byID[v.PatchID]; ok && i < len(f.history) {
		if v.Result == Accepted {
			f.history[i] = v
		}
		return f.history[i]
	}
	if len(f.history) >= maxVerdicts {
		f.dropOldest()
	}
	f.byID[v.PatchID] = len(f.history)
	f.history = append(f.history, v)
	return v
}

func (f *Fold) dropOldest() {
	f.history = append([]Verdict(nil), f.history[maxVerdicts/4:]...)
	clear(f.byID)
	for i, v := range f.history {
		f.byID[v.PatchID] = i
	}
}

// Restore installs a snapshot from a peer if it is ahead of this fold, and
// reports whether it did. A snapshot from before the last gap in the records is
// put in force, but the fold becomes based only with a later one.
func (f *Fold) Restore(s Snapshot) (bool, error) {
	if s.Version < f.version || (f.based && s.Next <= f.next) {
		return false, nil
	}
	if !f.based && s.Next < f.firstAfterGap && s.Version == f.version {
		return false, nil
	}
	if err := f.install(s); err != nil {
		return false, err
	}
	if s.Next >= f.firstAfterGap {
		f.replay(s.Next)
		f.next = max(f.next, s.Next)
	}
	return true, nil
}

// install verifies a snapshot and puts its document in force.
func (f *Fold) install(s Snapshot) error {
	if digest(s.Document) != s.Digest {
		return ErrDigest
	}
	if s.Version > maxVersion {
		return ErrVersion
	}
	doc, ps := confg.Parse(s.Document)
	if len(ps) > 0 {
		return errors.New(ps.String())
	}
	f.version = s.Version
	f.raw = s.Document
	f.document = doc
	return nil
}

// Snapshot returns a snapshot of the configuration in force. It is valid only
// while the fold is based.
func (f *Fold) Snapshot() Snapshot {
	return Snapshot{Version: f.version, Next: f.next, Document: f.raw, Digest: digest(f.raw)}
}

// SnapshotOffset returns the offset of the newest snapshot record read, or zero
// if there was none. While the fold is not based, only a record whose snapshot
// it installed counts.
func (f *Fold) SnapshotOffset() ident.Offset { return f.snapshotOffset }

// SetOldest must be called with the oldest offset that the stream retains. If
// that is zero, no record was lost, and the stream starts from the empty
// configuration, so a fold that has read nothing becomes based.
func (f *Fold) SetOldest(oldest ident.Offset) {
	if oldest == 0 && f.next == 0 {
		f.based = true
	}
}

// Based reports whether the fold has the configuration at offset Next. A fold
// that has read neither all records nor a snapshot does not.
func (f *Fold) Based() bool { return f.based }

// Next returns the offset of the first record not yet applied.
func (f *Fold) Next() ident.Offset { return f.next }

// Version returns the version in force.
func (f *Fold) Version() ident.Version { return f.version }

// Document returns the document in force, which must not be changed.
func (f *Fold) Document() *confg.Document { return f.document }

// Raw returns the document in force as JSON, without defaults filled in.
func (f *Fold) Raw() []byte { return f.raw }

// Verdict returns the verdict on a patch, if it is in the history.
func (f *Fold) Verdict(id ident.PatchID) (Verdict, bool) {
	i, ok := f.byID[id]
	if !ok {
		return Verdict{}, false
	}
	return f.history[i], true
}

// History returns the verdicts kept, in the order in which their patch IDs were
// first read.
func (f *Fold) History() []Verdict {
	return append([]Verdict(nil), f.history...)
}

func digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

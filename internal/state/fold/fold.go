// Package fold computes configuration versions from the records of the
// configuration stream. Every reader of the same records gets the same
// versions, so a verdict on a patch needs no agreement beyond the log.
package fold

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"

	"laburnumstack.org/laburnum/pkg/confg"
	"laburnumstack.org/laburnum/pkg/ident"
)

// maxVerdicts bounds the verdicts kept for operators.
const maxVerdicts = 4096

// ErrDigest reports a snapshot whose document doesn't match its digest.
var ErrDigest = errors.New("snapshot digest does not match its document")

// Fold is the state of one reader of the configuration stream. It is not safe
// for concurrent use.
type Fold struct {
	version  ident.Version
	raw      []byte
	document *confg.Document
	// next is the offset of the first record not yet folded.
	next ident.Offset
	// based tells that version and raw are known for offset next.
	based bool
	// runStart is the first offset of the unbroken run of records read last.
	runStart ident.Offset
	pending  []pendingRecord
	// snapshotOffset is the offset of the newest usable snapshotOffset in the stream.
	snapshotOffset ident.Offset
	history        []Verdict
	byID           map[ident.PatchID]int
}

type pendingRecord struct {
	offset ident.Offset
	record Record
}

// New returns a fold that knows nothing. It waits for the first record of the
// stream or for a snapshot.
func New() *Fold {
	return &Fold{raw: []byte("{}"), document: &confg.Document{}, byID: map[ident.PatchID]int{}}
}

// Apply folds the record at the given offset and returns the verdicts that
// became known. Records before the next offset are ignored; a record that
// can't be decoded counts as none.
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

// skipTo begins a new run after records that were lost to retention. The
// version in force stays until a snapshot tells the one at the new place.
func (f *Fold) skipTo(at ident.Offset) {
	f.based = false
	f.runStart = at
	f.pending = nil
}

// applyUnbased keeps patches until a snapshot tells what they apply to.
func (f *Fold) applyUnbased(at ident.Offset, rec Record) []Verdict {
	if rec.Patch != nil {
		f.pending = append(f.pending, pendingRecord{at, rec})
		return nil
	}
	if rec.Snapshot == nil || rec.Snapshot.Next < f.runStart {
		return nil
	}
	if rec.Snapshot.Version < f.version || f.install(*rec.Snapshot) != nil {
		return nil
	}
	f.snapshotOffset = at
	return f.replay(rec.Snapshot.Next)
}

// replay folds the waiting records from an offset on.
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

// decide decides on one patch. It depends only on the version and document so
// far, never on patch ids, so that readers that began at different places
// agree.
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

// addVerdict keeps a verdict. Of several records with one patch id an accepted one
// stands, otherwise the first.
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

// Restore adopts a snapshot from a peer if it is ahead of this fold, and
// reports whether it did. A snapshot from before the run of records read so
// far comes into force, but the fold still waits for one from the stream.
func (f *Fold) Restore(s Snapshot) (bool, error) {
	if s.Version < f.version || (f.based && s.Next <= f.next) {
		return false, nil
	}
	if !f.based && s.Next < f.runStart && s.Version == f.version {
		return false, nil
	}
	if err := f.install(s); err != nil {
		return false, err
	}
	if s.Next >= f.runStart {
		f.replay(s.Next)
		f.next = max(f.next, s.Next)
	}
	return true, nil
}

// install puts a snapshot's document in force.
func (f *Fold) install(s Snapshot) error {
	if digest(s.Document) != s.Digest {
		return ErrDigest
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

// Snapshot returns the state as a record. It is only of use while the fold is
// based.
func (f *Fold) Snapshot() Snapshot {
	return Snapshot{Version: f.version, Next: f.next, Document: f.raw, Digest: digest(f.raw)}
}

// SnapshotOffset returns the offset of the newest snapshot that the fold read,
// or zero.
func (f *Fold) SnapshotOffset() ident.Offset { return f.snapshotOffset }

// SetOldest tells the fold the oldest offset of the stream. A stream that has lost
// nothing begins with the empty configuration.
func (f *Fold) SetOldest(oldest ident.Offset) {
	if oldest == 0 && f.next == 0 {
		f.based = true
	}
}

// Based reports whether the version in force is known.
func (f *Fold) Based() bool { return f.based }

// Next returns the offset of the first record not yet folded.
func (f *Fold) Next() ident.Offset { return f.next }

// Version returns the version in force.
func (f *Fold) Version() ident.Version { return f.version }

// Document returns the document in force; it must not be changed.
func (f *Fold) Document() *confg.Document { return f.document }

// Raw returns the document in force as it was patched, without defaults.
func (f *Fold) Raw() []byte { return f.raw }

// Verdict returns what is known of a patch.
func (f *Fold) Verdict(id ident.PatchID) (Verdict, bool) {
	i, ok := f.byID[id]
	if !ok {
		return Verdict{}, false
	}
	return f.history[i], true
}

// History returns the verdicts in the order of the log, oldest first.
func (f *Fold) History() []Verdict {
	return append([]Verdict(nil), f.history...)
}

func digest(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

package confg

import (
	"encoding/hex"
	"fmt"

	"laburnumstack.org/laburnum/pkg/ident"
)

// keyDigestBytes is the size of a SHA-256 digest.
const keyDigestBytes = 32

// DefaultMaxTokens is the default of Workspace.MaxTokens.
const DefaultMaxTokens ident.Tokens = 20_000_000

// Workspace is a customer of the serving layer.
type Workspace struct {
	// Keys lists the SHA-256 digests of the workspace's API keys in hexadecimal.
	Keys []string `json:",omitempty"`
	// Weight determines the workspace's share of a busy fleet, relative to the
	// weights of the others.
	Weight int `json:",omitempty"`
	// MaxRequests limits the workspace's requests in flight in the whole fleet.
	MaxRequests int `json:",omitempty"`
	// MaxTokens limits the prompt tokens of the workspace's requests in flight in
	// the whole fleet.
	MaxTokens ident.Tokens `json:",omitempty"`
}

func (w *Workspace) fillDefaults() {
	if w.Weight == 0 {
		w.Weight = 1
	}
	if w.MaxRequests == 0 {
		w.MaxRequests = 2000
	}
	if w.MaxTokens == 0 {
		w.MaxTokens = DefaultMaxTokens
	}
}

func (w Workspace) validate(path string) Problems {
	var ps Problems
	for i, k := range w.Keys {
		if b, err := hex.DecodeString(k); err != nil || len(b) != keyDigestBytes {
			ps = append(ps, Problem{fmt.Sprintf("%s.Keys[%d]", path, i), "must be a SHA-256 digest of 64 hexadecimal digits"})
		}
	}
	if w.Weight < 1 || w.Weight > 1000 {
		ps = append(ps, Problem{path + ".Weight", "must be from 1 to 1000"})
	}
	if w.MaxRequests < 1 {
		ps = append(ps, Problem{path + ".MaxRequests", "must be at least 1"})
	}
	if w.MaxTokens < 1 {
		ps = append(ps, Problem{path + ".MaxTokens", "must be at least 1"})
	}
	return ps
}

// checkKeys returns a problem for each key that is listed more than once.
func (d *Document) checkKeys() Problems {
	var ps Problems
	owner := map[string]ident.WorkspaceName{}
	for _, n := range ident.SortedKeys(d.Workspaces) {
		for i, k := range d.Workspaces[n].Keys {
			if o, ok := owner[k]; ok {
				ps = append(ps, Problem{fmt.Sprintf("Workspaces.%s.Keys[%d]", n, i), "same key as workspace " + string(o)})
			}
			owner[k] = n
		}
	}
	return ps
}

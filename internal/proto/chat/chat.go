// Package chat reads and writes the chat and text completion interface that
// callers of models use.
package chat

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"laburnumstack.org/laburnum/pkg/ident"
)

// ErrBadRequest means that a body is not a valid completion request.
const ErrBadRequest = errors.ConstError("bad request body")

const (
	// bytesPerToken estimates tokens from the size of a prompt's JSON.
	bytesPerToken = 4
	// blockBytes is the unit of prefix digests.
	blockBytes       = 4096
	defaultMaxTokens = 256
	maxMaxTokens     = 65536
)

// Form tells the two kinds of completion apart.
type Form int

// Forms of completion.
const (
	// Chat completes a list of messages.
	Chat Form = iota
	// Text completes a text.
	Text
)

// Prompt is a checked completion request.
type Prompt struct {
	Form   Form
	Model  ident.ModelName
	Stream bool
	// Tokens estimates the prompt's length.
	Tokens ident.Tokens
	// MaxTokens bounds the answer's length.
	MaxTokens ident.Tokens
	// Digest identifies the content.
	Digest uint64
	// Prefixes are chained digests at the doubling block counts, shortest
	// first.
	Prefixes []Prefix
}

// Prefix identifies the start of a prompt.
type Prefix struct {
	Digest uint64
	Tokens ident.Tokens
}

// body holds the fields that are checked; others are the engine's affair.
type body struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
}

// message is one turn of a chat.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Parse checks a body.
func Parse(f Form, raw []byte) (*Prompt, error) {
	var b body
	if err := json.Unmarshal(raw, &b); err != nil {
		return nil, badRequestf("%v", err)
	}
	if b.Model == "" {
		return nil, badRequestf("model is missing")
	}
	if b.N != nil && *b.N != 1 {
		return nil, badRequestf("n must be 1")
	}
	content, err := b.content(f)
	if err != nil {
		return nil, err
	}
	most, err := b.maxTokens()
	if err != nil {
		return nil, err
	}
	return &Prompt{
		Form:      f,
		Model:     ident.ModelName(b.Model),
		Stream:    b.Stream,
		Tokens:    ident.Tokens(len(content)/bytesPerToken + 1),
		MaxTokens: most,
		Digest:    xxhash.Sum64(content),
		Prefixes:  prefixes(content),
	}, nil
}

func (b *body) content(f Form) ([]byte, error) {
	if f == Text {
		return b.text()
	}
	var ms []message
	if err := json.Unmarshal(b.Messages, &ms); err != nil || len(ms) == 0 {
		return nil, badRequestf("messages must be a list of at least one message")
	}
	for i, m := range ms {
		if m.Role == "" || len(m.Content) == 0 {
			return nil, badRequestf("messages[%d] needs role and content", i)
		}
	}
	return b.Messages, nil
}

func (b *body) text() ([]byte, error) {
	if len(b.Prompt) < 3 || b.Prompt[0] != '"' {
		return nil, badRequestf("prompt must be a string that is not empty")
	}
	return b.Prompt, nil
}

func (b *body) maxTokens() (ident.Tokens, error) {
	n := b.MaxTokens
	if b.MaxCompletionTokens != nil {
		n = b.MaxCompletionTokens
	}
	if n == nil {
		return defaultMaxTokens, nil
	}
	if *n < 1 || *n > maxMaxTokens {
		return 0, badRequestf("max_tokens must be from 1 to %d", maxMaxTokens)
	}
	return ident.Tokens(*n), nil
}

func badRequestf(format string, args ...any) error {
	return errors.WithType(errors.New(fmt.Sprintf(format, args...)), ErrBadRequest)
}

// prefixes digests the content's start at 1, 2, 4, ... blocks.
func prefixes(content []byte) []Prefix {
	var ps []Prefix
	d := xxhash.New()
	done, next := 0, blockBytes
	for next <= len(content) {
		d.Write(content[done:next])
		ps = append(ps, Prefix{d.Sum64(), ident.Tokens(next / bytesPerToken)})
		done = next
		next *= 2
	}
	return ps
}

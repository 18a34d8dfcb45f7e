// Package chat parses requests to the chat and text completion API, and formats
// the answers.
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
	// bytesPerToken is used to estimate the tokens of a prompt from the size of
	// its JSON.
	bytesPerToken = 4
	// blockBytes is the size of a block, the unit of prefix lengths.
	blockBytes = 4096
	// defaultMaxTokens applies if a request sets no limit on its answer.
	defaultMaxTokens = 256
	// maxTokensLimit is the largest limit that a request may set.
	maxTokensLimit = 65536
)

// Form distinguishes chat completions from text completions.
type Form int

// Forms of completion requests.
const (
	// Chat is the completion of a list of messages.
	Chat Form = iota
	// Text is the completion of a text.
	Text
)

// Prompt is a valid completion request.
type Prompt struct {
	Form   Form
	Model  ident.ModelName
	Stream bool
	// Tokens is the estimated length of the prompt.
	Tokens ident.Tokens
	// MaxTokens is the limit on the length of the answer.
	MaxTokens ident.Tokens
	// Digest is a hash of the raw JSON of the messages or of the prompt text.
	Digest uint64
	// SharedParts identify the messages of a chat but the last one, together with the
	// model; other prompts may share them.
	SharedParts []ident.PartID
	// Prefixes identifies the first 1, 2, 4, ... whole blocks of the same JSON,
	// shortest first.
	Prefixes []Prefix
}

// Prefix identifies the start of a prompt by its hash.
type Prefix struct {
	Digest uint64
	// Tokens is the estimated length of the prefix.
	Tokens ident.Tokens
}

// body holds the fields that Parse checks. The others are left to the engine.
type body struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	Stream              bool            `json:"stream"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	N                   *int64          `json:"n"`
}

// message holds the fields of a chat message that Parse checks.
type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// Parse parses and validates the body of a completion request.
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
	content, err := b.rawContent(f)
	if err != nil {
		return nil, err
	}
	maxTokens, err := b.maxTokens()
	if err != nil {
		return nil, err
	}
	return &Prompt{
		Form:      f,
		Model:     ident.ModelName(b.Model),
		Stream:    b.Stream,
		Tokens:    ident.Tokens(len(content)/bytesPerToken + 1),
		MaxTokens: maxTokens,
		Digest:    xxhash.Sum64(content),
		Prefixes:  prefixes(content),

		SharedParts: b.sharedParts(f),
	}, nil
}

// maxSharedParts bounds the messages that SharedParts identifies.
const maxSharedParts = 32

// sharedParts returns the IDs of the first messages of a valid chat, without the last
// one. A text is one part.
func (b *body) sharedParts(f Form) []ident.PartID {
	if f == Text {
		return nil
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(b.Messages, &messages); err != nil {
		return nil
	}
	var ids []ident.PartID
	for _, m := range messages[:min(maxSharedParts, len(messages)-1)] {
		d := xxhash.New()
		d.WriteString(b.Model)
		d.Write(m)
		ids = append(ids, ident.PartID(d.Sum64()))
	}
	return ids
}

// rawContent validates the messages or the prompt text and returns its raw JSON.
func (b *body) rawContent(f Form) ([]byte, error) {
	if f == Text {
		return b.rawPrompt()
	}
	var messages []message
	if err := json.Unmarshal(b.Messages, &messages); err != nil || len(messages) == 0 {
		return nil, badRequestf("messages must be a list of at least one message")
	}
	for i, m := range messages {
		if m.Role == "" || len(m.Content) == 0 {
			return nil, badRequestf("messages[%d] needs role and content", i)
		}
	}
	return b.Messages, nil
}

func (b *body) rawPrompt() ([]byte, error) {
	// The JSON of an empty string has two bytes.
	if len(b.Prompt) < 3 || b.Prompt[0] != '"' {
		return nil, badRequestf("prompt must be a string that is not empty")
	}
	return b.Prompt, nil
}

// maxTokens returns the limit on the length of the answer.
// max_completion_tokens takes precedence over max_tokens.
func (b *body) maxTokens() (ident.Tokens, error) {
	limit := b.MaxTokens
	if b.MaxCompletionTokens != nil {
		limit = b.MaxCompletionTokens
	}
	if limit == nil {
		return defaultMaxTokens, nil
	}
	if *limit < 1 || *limit > maxTokensLimit {
		return 0, badRequestf("max_tokens must be from 1 to %d", maxTokensLimit)
	}
	return ident.Tokens(*limit), nil
}

func badRequestf(format string, args ...any) error {
	return errors.WithType(errors.New(fmt.Sprintf(format, args...)), ErrBadRequest)
}

// prefixes returns the prefixes that consist of the first 1, 2, 4, ... whole
// blocks of the content.
func prefixes(content []byte) []Prefix {
	var ps []Prefix
	hash := xxhash.New()
	start, end := 0, blockBytes
	for end <= len(content) {
		hash.Write(content[start:end])
		ps = append(ps, Prefix{hash.Sum64(), ident.Tokens(end / bytesPerToken)})
		start = end
		end *= 2
	}
	return ps
}

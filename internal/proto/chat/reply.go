package chat

import (
	"bytes"
	"encoding/json"
	"time"

	"laburnumstack.org/laburnum/pkg/ident"
)

// Done is the event that ends a stream.
const Done = "data: [DONE]\n\n"

// Usage holds the token counts of a completion.
type Usage struct {
	PromptTokens     ident.Tokens         `json:"prompt_tokens"`
	CompletionTokens ident.Tokens         `json:"completion_tokens"`
	TotalTokens      ident.Tokens         `json:"total_tokens"`
	Details          *PromptTokensDetails `json:"prompt_tokens_details,omitempty"`
}

// PromptTokensDetails holds the number of prompt tokens found in the prefix
// cache.
type PromptTokensDetails struct {
	CachedTokens ident.Tokens `json:"cached_tokens"`
}

// Reply formats the answer to one prompt.
type Reply struct {
	Prompt  *Prompt
	ID      ident.RequestID
	Created time.Time
}

type completion struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   ident.ModelName `json:"model"`
	Choices []choice        `json:"choices"`
	Usage   *Usage          `json:"usage,omitempty"`
}

type choice struct {
	Index        int           `json:"index"`
	Delta        *replyMessage `json:"delta,omitempty"`
	Message      *replyMessage `json:"message,omitempty"`
	Text         *string       `json:"text,omitempty"`
	FinishReason *string       `json:"finish_reason"`
}

type replyMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// Usage returns the token counts to report. The number of prompt tokens is the
// estimate made by Parse.
func (r Reply) Usage(generated, cached ident.Tokens) *Usage {
	p := r.Prompt.Tokens
	return &Usage{p, generated, p + generated, &PromptTokensDetails{cached}}
}

// placeholder marks the position of the text in the JSON from which a template
// is made.
const placeholder = "\u0001"

// Template formats events that differ only in their text.
type Template struct {
	before, after []byte
}

// EventTemplate returns the template for the events of a stream. If first is
// set, it is the template for the first event, which in a chat also carries the
// role.
func (r Reply) EventTemplate(first bool) Template {
	text := placeholder
	c := choice{}
	if r.Prompt.Form == Chat {
		c.Delta = &replyMessage{Content: text}
		if first {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	before, after, _ := bytes.Cut(encodeEvent(r.newCompletion(".chunk", c, nil)), quoteJSON(placeholder))
	return Template{before, after}
}

// Append appends the event with the given text to b.
func (t Template) Append(b []byte, text string) []byte {
	b = append(b, t.before...)
	if isPlainASCII(text) {
		b = append(b, '"')
		b = append(b, text...)
		b = append(b, '"')
	} else {
		b = append(b, quoteJSON(text)...)
	}
	return append(b, t.after...)
}

func quoteJSON(s string) []byte {
	raw, _ := json.Marshal(s)
	return raw
}

// isPlainASCII reports whether a text consists of printable ASCII characters
// that json.Marshal leaves unescaped.
func isPlainASCII(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c > '~' || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			return false
		}
	}
	return true
}

// FinalEvents returns the events that end the stream of a complete answer.
func (r Reply) FinalEvents(u *Usage) []byte {
	stop := "stop"
	c := choice{FinishReason: &stop}
	if r.Prompt.Form == Chat {
		c.Delta = &replyMessage{}
	} else {
		c.Text = new(string)
	}
	return append(encodeEvent(r.newCompletion(".chunk", c, u)), Done...)
}

// Body returns the body of an answer that is not streamed.
func (r Reply) Body(text string, u *Usage) []byte {
	stop := "stop"
	c := choice{FinishReason: &stop}
	if r.Prompt.Form == Chat {
		c.Message = &replyMessage{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	raw, _ := json.Marshal(r.newCompletion("", c, u))
	return raw
}

// newCompletion returns the JSON object of an answer or of an event. objectSuffix
// is appended to the object type of a chat.
func (r Reply) newCompletion(objectSuffix string, c choice, u *Usage) completion {
	out := completion{ID: "cmpl-" + string(r.ID), Object: "text_completion", Created: r.Created.Unix(), Model: r.Prompt.Model, Choices: []choice{c}, Usage: u}
	if r.Prompt.Form == Chat {
		out.ID = "chatcmpl-" + string(r.ID)
		out.Object = "chat.completion" + objectSuffix
	}
	return out
}

func encodeEvent(v any) []byte {
	raw, _ := json.Marshal(v)
	b := make([]byte, 0, len(raw)+8)
	b = append(b, "data: "...)
	b = append(b, raw...)
	return append(b, "\n\n"...)
}

// ErrorEvent returns the event that reports why a stream ends early.
func ErrorEvent(v any) []byte {
	return encodeEvent(map[string]any{"error": v})
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

type model struct {
	ID      ident.ModelName `json:"id"`
	Object  string          `json:"object"`
	OwnedBy string          `json:"owned_by"`
}

// Models returns the body of the answer to a request for the list of models.
func Models(names []ident.ModelName) []byte {
	list := modelList{Object: "list", Data: []model{}}
	for _, name := range names {
		list.Data = append(list.Data, model{name, "model", "laburnum"})
	}
	raw, _ := json.Marshal(list)
	return raw
}

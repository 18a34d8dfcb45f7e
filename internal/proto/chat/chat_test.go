package chat_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test"
	"github.com/shoenig/test/must"

	"laburnumstack.org/laburnum/internal/proto/chat"
)

func TestParse(t *testing.T) {
	cases := []struct {
		name string
		form chat.Form
		body string
		ok   bool
	}{
		{"chat", chat.Chat, `{"model":"m","messages":[{"role":"user","content":"hi"}]}`, true},
		{"content in parts", chat.Chat, `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`, true},
		{"unknown field", chat.Chat, `{"model":"m","temperature":0,"messages":[{"role":"user","content":"hi"}]}`, true},
		{"text", chat.Text, `{"model":"m","prompt":"hi"}`, true},
		{"no model", chat.Chat, `{"messages":[{"role":"user","content":"hi"}]}`, false},
		{"no messages", chat.Chat, `{"model":"m","messages":[]}`, false},
		{"messages of the wrong type", chat.Chat, `{"model":"m","messages":"hi"}`, false},
		{"no role", chat.Chat, `{"model":"m","messages":[{"content":"hi"}]}`, false},
		{"text without prompt", chat.Text, `{"model":"m"}`, false},
		{"empty prompt", chat.Text, `{"model":"m","prompt":""}`, false},
		{"n above 1", chat.Text, `{"model":"m","prompt":"hi","n":2}`, false},
		{"negative max_tokens", chat.Text, `{"model":"m","prompt":"hi","max_tokens":-1}`, false},
		{"not JSON", chat.Text, `{"model":`, false},
		{"empty body", chat.Text, ``, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, err := chat.Parse(c.form, []byte(c.body))
			if c.ok {
				must.NoError(t, err)
				test.Positive(t, p.Tokens)
				return
			}
			test.ErrorIs(t, err, chat.ErrBadRequest)
		})
	}
}

func TestPromptsWithSameStartSharePrefixes(t *testing.T) {
	parse := func(text string) *chat.Prompt {
		p, err := chat.Parse(chat.Text, []byte(`{"model":"m","prompt":"`+text+`"}`))
		must.NoError(t, err)
		return p
	}
	same := strings.Repeat("a", 20_000)
	a, b := parse(same+strings.Repeat("b", 20_000)), parse(same+strings.Repeat("c", 20_000))
	must.Len(t, 4, a.Prefixes)
	for i, p := range a.Prefixes {
		test.Eq(t, p.Tokens <= 4096, p == b.Prefixes[i], test.Sprintf("prefix of %d tokens", p.Tokens))
	}
	test.NotEq(t, a.Digest, b.Digest)
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"hi"}]}`))
	f.Add([]byte(`{"model":"m","prompt":"hi","max_tokens":1e3}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, form := range []chat.Form{chat.Chat, chat.Text} {
			p, err := chat.Parse(form, body)
			if err == nil {
				test.Positive(t, p.Tokens)
				test.Positive(t, p.MaxTokens)
			}
		}
	})
}

func TestTemplateEscapesText(t *testing.T) {
	for _, form := range []chat.Form{chat.Chat, chat.Text} {
		r := chat.Reply{Prompt: &chat.Prompt{Form: form, Model: "m"}, ID: "r"}
		for _, text := range []string{"hi ", "", `a"b\c`, "línea\n", "<&>", "\x01"} {
			b := string(r.EventTemplate(false).Append(nil, text))
			data, ok := strings.CutPrefix(b, "data: ")
			must.True(t, ok)
			var e struct {
				Choices []struct {
					Text  string
					Delta struct{ Content string }
				}
			}
			must.NoError(t, json.Unmarshal([]byte(data), &e), must.Sprint(b))
			test.Eq(t, text, e.Choices[0].Text+e.Choices[0].Delta.Content)
		}
	}
}

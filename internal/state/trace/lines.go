package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"
)

// Line is one line that a node logged.
type Line struct {
	At   time.Time
	Node string
	// Text is what happened; Fields are the values beside it, in the order in
	// which they stand in the line.
	Text   string
	Fields []Field
}

// Field is one value of a line.
type Field struct {
	Name, Value string
}

// Get returns the value of a field, empty if there is none.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// names reports whether a value of the line is a name, or a list with it.
func (l Line) names(name string) bool {
	for _, f := range l.Fields {
		if f.Value == name || strings.Contains(f.Value, `"`+name+`"`) {
			return true
		}
	}
	return false
}

// maxLine bounds a line in bytes.
const maxLine = 1 << 20

// ReadLines reads the lines of one or more nodes. Text before the object of a
// line is passed over, and so are lines without one.
func ReadLines(r io.Reader) ([]Line, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	var ls []Line
	for sc.Scan() {
		i := bytes.IndexByte(sc.Bytes(), '{')
		if i < 0 {
			continue
		}
		if l, ok := parseLine(sc.Bytes()[i:]); ok {
			ls = append(ls, l)
		}
	}
	return ls, sc.Err()
}

func parseLine(raw []byte) (Line, bool) {
	d := json.NewDecoder(bytes.NewReader(raw))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return Line{}, false
	}
	var l Line
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return Line{}, false
		}
		var v json.RawMessage
		if err := d.Decode(&v); err != nil {
			return Line{}, false
		}
		l.add(name.(string), v)
	}
	return l, !l.At.IsZero()
}

func (l *Line) add(name string, raw json.RawMessage) {
	text := string(raw)
	var s string
	if json.Unmarshal(raw, &s) == nil {
		text = s
	}
	switch name {
	case "time":
		l.At, _ = time.Parse(time.RFC3339Nano, text)
	case "node":
		l.Node = text
	case "message":
		l.Text = text
	case "level":
	default:
		l.Fields = append(l.Fields, Field{name, text})
	}
}

// causeWindow is how long before and after a request's lines others count as
// its causes.
const causeWindow = 3 * time.Second

// Story returns the lines about a request, an endpoint or a version of the
// configuration, in the order of time. For a request they include what the
// same node learned of its endpoints at that time. The lines of one node keep
// their order, also where its clock was set back; the clocks of different
// nodes may differ.
func Story(ls []Line, about string) []Line {
	var direct []Line
	for _, l := range ls {
		if l.names(about) {
			direct = append(direct, l)
		}
	}
	if len(direct) == 0 {
		return nil
	}
	story := slices.Clone(direct)
	for _, l := range ls {
		if !l.names(about) && causes(l, direct) {
			story = append(story, l)
		}
	}
	return inOrder(story)
}

// causes reports whether a line tells of an endpoint of a request near one of
// the request's lines.
func causes(l Line, direct []Line) bool {
	if l.Get("request") != "" {
		return false
	}
	for _, d := range direct {
		e := d.Get("endpoint")
		if d.Get("request") == "" || e == "" || l.Node != d.Node || l.At.Sub(d.At).Abs() > causeWindow {
			continue
		}
		if l.names(e) {
			return true
		}
	}
	return false
}

// inOrder merges the lines of the nodes by time without changing the order of
// any node's own.
func inOrder(ls []Line) []Line {
	queues := map[string][]Line{}
	for _, l := range ls {
		queues[l.Node] = append(queues[l.Node], l)
	}
	for n, q := range queues {
		slices.SortStableFunc(q, func(a, b Line) int { return a.At.Compare(b.At) })
		queues[n] = q
	}
	var out []Line
	for len(out) < len(ls) {
		first := ""
		for n, q := range queues {
			if len(q) == 0 {
				continue
			}
			if first == "" || q[0].At.Before(queues[first][0].At) || q[0].At.Equal(queues[first][0].At) && n < first {
				first = n
			}
		}
		out = append(out, queues[first][0])
		queues[first] = queues[first][1:]
	}
	return out
}

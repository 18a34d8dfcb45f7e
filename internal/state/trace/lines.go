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

// Line is one parsed log line of a node.
type Line struct {
	At   time.Time
	Node string
	// Text is the log message. Fields are the other values except the level, in
	// the order of the line.
	Text   string
	Fields []Field
}

// Field is a named value of a log line.
type Field struct {
	Name, Value string
}

// Get returns the value of the named field, or "" if there is none.
func (l Line) Get(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// mentions reports whether the value of a field is the given name, or contains
// it in quotes as a JSON list does.
func (l Line) mentions(name string) bool {
	for _, f := range l.Fields {
		if f.Value == name || strings.Contains(f.Value, `"`+name+`"`) {
			return true
		}
	}
	return false
}

// maxLineBytes is the maximum length of a log line. ReadLines fails at a longer
// one.
const maxLineBytes = 1 << 20

// ReadLines parses the log lines of one or more nodes. Each line is a JSON
// object; text before the object is ignored, and so are lines without a valid
// object or time.
func ReadLines(r io.Reader) ([]Line, error) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
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
		l.addValue(name.(string), v)
	}
	return l, !l.At.IsZero()
}

func (l *Line) addValue(name string, raw json.RawMessage) {
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

// causeWindow is the maximum time between a line of a request and a line about
// its endpoint that may explain what happened to the request.
const causeWindow = 3 * time.Second

// LinesAbout returns the lines that mention a request, an endpoint or a
// configuration version, sorted by time. It includes the lines that may explain
// those of requests: the lines of the same node about the request's endpoint at
// about the same time. As the clocks of the nodes may differ, lines of
// different nodes may be out of order.
func LinesAbout(ls []Line, subject string) []Line {
	var direct []Line
	for _, l := range ls {
		if l.mentions(subject) {
			direct = append(direct, l)
		}
	}
	if len(direct) == 0 {
		return nil
	}
	related := slices.Clone(direct)
	for _, l := range ls {
		if !l.mentions(subject) && mayExplain(l, direct) {
			related = append(related, l)
		}
	}
	return mergeByTime(related)
}

// mayExplain reports whether a line that belongs to no request mentions the
// endpoint of one of the request lines in direct, was logged by the same node,
// and is within causeWindow of that line.
func mayExplain(l Line, direct []Line) bool {
	if l.Get("request") != "" {
		return false
	}
	for _, d := range direct {
		e := d.Get("endpoint")
		if d.Get("request") == "" || e == "" || l.Node != d.Node || l.At.Sub(d.At).Abs() > causeWindow {
			continue
		}
		if l.mentions(e) {
			return true
		}
	}
	return false
}

// mergeByTime merges the lines of all nodes by time. Lines of one node with equal
// times keep their order; lines of different nodes with equal times are ordered
// by node name.
func mergeByTime(ls []Line) []Line {
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

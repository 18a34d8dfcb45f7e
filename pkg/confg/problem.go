package confg

import "strings"

// Problem is one reason to refuse a document.
type Problem struct {
	// Path names the field, with dots between the steps.
	Path string
	// Why says what is wrong with it.
	Why string
}

// Problems lists all reasons to refuse a document.
type Problems []Problem

// String joins the problems, one a line.
func (ps Problems) String() string {
	var b strings.Builder
	for i, p := range ps {
		if i > 0 {
			b.WriteByte('\n')
		}
		b.WriteString(p.Path)
		b.WriteString(": ")
		b.WriteString(p.Why)
	}
	return b.String()
}

// joinPath joins the steps of a field's path.
func joinPath(steps ...string) string {
	return strings.Join(steps, ".")
}

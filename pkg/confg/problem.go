package confg

import "strings"

// Problem is a reason to reject a document.
type Problem struct {
	// Path is the path of the invalid field, such as Routes.chat.TimeLimit or
	// Routes.chat.Models[0].
	Path string
	// Why describes what is wrong with the field.
	Why string
}

// Problems lists the reasons to reject a document.
type Problems []Problem

// String returns the problems, one on each line.
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

// joinPath returns the path of a field from its elements.
func joinPath(elems ...string) string {
	return strings.Join(elems, ".")
}

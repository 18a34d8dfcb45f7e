package bysize

// Class is a class of the prompts of a route by their size.
type Class int

// The classes: the smallest 30 in 100 prompts of a route, the next 40, the next 20, and the
// largest 10.
const (
	Smallest Class = iota
	Middle
	NextFifth
	LargestTenth
	// Classes is the number of classes.
	Classes
)

// classBounds are the upper bounds of the classes but the last, in percent of the prompts in
// ascending order of their size.
var classBounds = [Classes - 1]int{30, 70, 90}

// String returns the name of the class in metrics and tables, with its part in percent.
func (c Class) String() string {
	return [Classes]string{"smallest-30", "next-40", "next-20", "largest-10"}[c]
}

// ClassOf returns the class of the prompt at index rank of n prompts in ascending order of
// their size.
func ClassOf(rank, n int) Class {
	for i, bound := range classBounds {
		if 100*rank < bound*n {
			return Class(i)
		}
	}
	return LargestTenth
}

package place

// ChooseWithinBounds is like Choose. It reports whether the choice does without the bounds of
// MaxInFlight. They must not cause a rejection, or an answer that is late and would be in time
// without them: if the choice within them is rejected or expected to miss the target, it is
// compared with one without them.
func ChooseWithinBounds(s ServiceState, r Request) (c Choice, isUnbounded bool, err error) {
	c, err = Choose(s, r)
	if s.MaxInFlight == nil || err == nil && !s.isExpectedLate(c, r) {
		return c, false, err
	}
	free := s
	free.MaxInFlight, free.IsOthers = nil, nil
	other, otherErr := Choose(free, r)
	if err == nil && (otherErr != nil || s.isExpectedLate(other, r)) {
		return c, false, nil
	}
	return other, true, otherErr
}

// isExpectedLate reports whether the first event is expected after the request's target. Nothing
// is known of the speed of plain endpoints: there, the answer is late if no slot is free.
func (s ServiceState) isExpectedLate(c Choice, r Request) bool {
	if s.Engine != nil && r.Prompt > 0 {
		return c.Estimate > r.Target
	}
	running := 0
	for _, w := range s.InFlight {
		if w.First == c.Primary.Name {
			running++
		}
	}
	return c.Primary.Slots > 0 && running >= c.Primary.Slots
}

package place

// ChooseWithinBounds chooses within the bounds of MaxInFlight. If that choice is rejected or expected
// to miss the target, it chooses without them, and returns that choice if the first was rejected or
// if the second meets the target. Then ignoresBounds is set.
func ChooseWithinBounds(s ServiceState, r Request) (c Choice, ignoresBounds bool, err error) {
	c, err = Choose(s, r)
	if s.MaxInFlight == nil || err == nil && !s.isExpectedLate(c, r) {
		return c, false, err
	}
	unbounded := s
	unbounded.MaxInFlight, unbounded.IsForOthers = nil, nil
	other, otherErr := Choose(unbounded, r)
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

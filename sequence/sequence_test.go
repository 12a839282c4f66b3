package sequence

import "testing"

// Guards against an answer with a missing, repeated or extra item that counts as whole.
func TestItemsOutOfOrder(t *testing.T) {
	for name, c := range map[string]struct {
		checker Checker
		numbers []uint64
		want    []Position
	}{
		"in order":                  {StartingAt(1), []uint64{1, 2, 3}, []Position{Due, Due, Due}},
		"a later start":             {StartingAt(7), []uint64{7, 8}, []Position{Due, Due}},
		"one missing":               {StartingAt(1), []uint64{1, 3, 2}, []Position{Due, Gap, Due}},
		"the first missing":         {StartingAt(1), []uint64{2, 1}, []Position{Gap, Due}},
		"one twice":                 {StartingAt(1), []uint64{1, 1, 2}, []Position{Due, Repeated, Due}},
		"back to the start":         {StartingAt(1), []uint64{1, 2, 1, 3}, []Position{Due, Due, Repeated, Due}},
		"any start":                 {StartingAnywhere(), []uint64{9, 10, 12, 11}, []Position{Due, Due, Gap, Due}},
		"from the start if resumed": {StartingAt(3), []uint64{1, 2, 3}, []Position{Repeated, Repeated, Due}},
	} {
		t.Run(name, func(t *testing.T) {
			for i, number := range c.numbers {
				if got := c.checker.Observe(number); got != c.want[i] {
					t.Errorf("item %d of %v is %v, want %v", i, c.numbers, got, c.want[i])
				}
			}
		})
	}
}

// Guards against an end that is stated too early or too late, and against items after it.
func TestEnd(t *testing.T) {
	c := StartingAt(0)
	c.Observe(0)
	c.Observe(1)
	if c.End(1) == nil || c.End(3) == nil {
		t.Error("an end with another count is accepted")
	}
	if err := c.End(2); err != nil {
		t.Error(err)
	}
	if got := c.Observe(2); got != AfterEnd {
		t.Errorf("an item after the end is %v", got)
	}
	unknown := StartingAnywhere()
	if unknown.End(0) == nil {
		t.Error("an end without any item is accepted where the start is unknown")
	}
}

package simload

// checker counts block reads that must never happen. It compares the origin of a
// block, which no policy can access, with the blocks that the request may use.
type checker struct {
	reads        int64
	wrongTeam    int64
	wrongVersion int64
	// wrongSlot counts imports of a slot that was freed or reused.
	wrongSlot  int64
	decisions  int64
	firstWrong string
}

// read is called for each block that a request reuses.
func (c *checker) read(j *job, from origin) {
	c.reads++
	if from.team != j.req.team {
		c.wrongTeam++
		c.recordFirst("block of " + string(from.team) + " served " + string(j.req.team))
	}
	if from.version != j.req.version {
		c.wrongVersion++
		c.recordFirst("block of version " + string(from.version) + " served a request for " + string(j.req.version))
	}
}

// imported is called for each block that an engine imports from a store host.
func (c *checker) imported(src source) {
	if h, _ := src.store.find(src.id); h == nil || h.generation != src.generation {
		c.wrongSlot++
		c.recordFirst("a slot of " + string(src.store.name) + " was read after it was freed")
	}
}

func (c *checker) recordFirst(text string) {
	if c.firstWrong == "" {
		c.firstWrong = text
	}
}

// violations returns the number of wrong reads.
func (c *checker) violations() int64 { return c.wrongTeam + c.wrongVersion + c.wrongSlot }

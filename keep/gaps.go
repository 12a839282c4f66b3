package keep

import (
	"math"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// Buckets of a gap record: two for each doubling of the age, from one second to
// about 24 days.
const (
	bucketsPerDoubling = 2
	bucketCount        = 43
)

// ageLimits[k] is the lower limit of bucket k in seconds; the last element is
// the upper limit of the last bucket.
var ageLimits = func() [bucketCount + 1]float64 {
	var limits [bucketCount + 1]float64
	for k := 1; k <= bucketCount; k++ {
		limits[k] = math.Exp2(float64(k-1) / bucketsPerDoubling)
	}
	return limits
}()

func bucketOf(age time.Duration) int {
	seconds := age.Seconds()
	if seconds < 1 {
		return 0
	}
	k := 1 + int(bucketsPerDoubling*math.Log2(seconds))
	return min(k, bucketCount-1)
}

// bucketStart returns the age at which bucket k begins.
func bucketStart(k int) time.Duration {
	return time.Duration(ageLimits[k] * float64(time.Second))
}

// gapRecord counts, for each age bucket, the prompts that reached it without
// returning and those that returned in it. The ratio of the two is the hazard.
// Counting the prompts that reached an age keeps those still waiting from being
// mistaken for prompts that return.
type gapRecord struct {
	reached  [bucketCount]float32
	returned [bucketCount]float32
	lastUse  uint64
	// regularity is the moving average of the fraction of gaps between uses of
	// one prompt that were similar to the previous gap. Only class records have
	// it.
	regularity float32
}

// recordWindow is the number of prompts at which the counts are halved, so that
// older observations decay and a change of behaviour shows.
const recordWindow = 512

func (g *gapRecord) reach(k int) {
	g.reached[k]++
	if g.reached[k] < recordWindow {
		return
	}
	for i := range g.reached {
		g.reached[i] /= 2
		g.returned[i] /= 2
	}
}

// priorWeight is the weight of the wider estimate in a hazard, in prompts.
const priorWeight = 8

// hazard returns the hazard in bucket k, blended with a wider estimate.
func (g *gapRecord) hazard(k int, wider float64) float64 {
	if g == nil {
		return wider
	}
	reached := float64(g.reached[k])
	returned := min(float64(g.returned[k]), reached)
	return (returned + priorWeight*wider) / (reached + priorWeight)
}

// gapKey identifies a record; an empty team means all teams of the class.
type gapKey struct {
	team  ident.Team
	class ident.Class
}

// learner holds the gap records.
type learner struct {
	limit   int
	tick    uint64
	records map[gapKey]*gapRecord
	classes map[ident.Class]*gapRecord
	all     gapRecord
}

func newLearner(limit int) learner {
	return learner{
		limit:   limit,
		records: make(map[gapKey]*gapRecord),
		classes: make(map[ident.Class]*gapRecord),
	}
}

// levels are the records that apply to one team and class, narrowest first.
type levels struct {
	own, class, all *gapRecord
}

func (l *learner) levels(key gapKey) levels {
	return levels{own: l.records[key], class: l.classes[key.class], all: &l.all}
}

// priorHazard is the assumed hazard without observations, for bucket 0. It
// falls with age, as in most caches.
const priorHazard = 0.1

func (v levels) hazard(k int) float64 {
	prior := priorHazard * float64(bucketCount-k) / bucketCount
	return v.own.hazard(k, v.class.hazard(k, v.all.hazard(k, prior)))
}

// support returns how many prompts reached bucket k in the team's or the
// class's record, whichever is larger.
func (v levels) support(k int) float64 {
	best := 0.0
	if v.own != nil {
		best = float64(v.own.reached[k])
	}
	if v.class != nil {
		best = max(best, float64(v.class.reached[k]))
	}
	return best
}

// reach records that a prompt reached an age bucket.
func (l *learner) reach(key gapKey, k int) {
	l.record(key).reach(k)
	l.classRecord(key.class).reach(k)
	l.all.reach(k)
}

// returned records that a prompt returned in an age bucket.
func (l *learner) returned(key gapKey, k int) {
	l.record(key).returned[k]++
	l.classRecord(key.class).returned[k]++
	l.all.returned[k]++
}

func (l *learner) record(key gapKey) *gapRecord {
	l.tick++
	g := l.records[key]
	if g == nil {
		if len(l.records) >= l.limit {
			l.evict()
		}
		g = &gapRecord{}
		l.records[key] = g
	}
	g.lastUse = l.tick
	return g
}

// evictSampleSize is the number of records examined by evict.
const evictSampleSize = 8

// evict removes the least recently used record of a sample. Go starts map
// iteration at an arbitrary element, which is random enough for a sample and
// needs no separate list.
func (l *learner) evict() {
	var victim gapKey
	oldest := uint64(math.MaxUint64)
	seen := 0
	for key, g := range l.records {
		if g.lastUse < oldest {
			victim, oldest = key, g.lastUse
		}
		seen++
		if seen >= evictSampleSize {
			break
		}
	}
	delete(l.records, victim)
}

func (l *learner) classRecord(class ident.Class) *gapRecord {
	g := l.classes[class]
	if g != nil {
		return g
	}
	// There are few classes. More than the limit of records means that the
	// names are not classes; these have no record of their own and use that of
	// all prompts.
	if len(l.classes) >= l.limit {
		return &gapRecord{}
	}
	g = &gapRecord{}
	l.classes[class] = g
	return g
}

// minWait is a lower limit of the expected time kept, in seconds. It keeps the
// index of a prompt that is about to return finite.
const minWait = 1.0

// gittinsIndex returns the Gittins index of keeping a prompt of the given age:
// the expected number of returns per second kept, if the prompt is dropped at
// the best time. A fixed horizon would misjudge either prompts that return late
// or prompts that return soon or never.
//
// Returns before the age useful don't count: the runner still holds the prompt
// then, and the copy saves nothing.
func (v levels) gittinsIndex(age, useful time.Duration) float64 {
	from := age.Seconds()
	usefulFrom := useful.Seconds()
	remaining, chance, wait, best := 1.0, 0.0, 0.0, 0.0
	for k := bucketOf(age); k < bucketCount; k++ {
		low := max(ageLimits[k], from)
		high := ageLimits[k+1]
		part := (high - low) / (high - ageLimits[k])
		returning := remaining * v.hazard(k) * part
		counted := max(high-max(low, usefulFrom), 0) / (high - low)
		chance += returning * counted
		wait += returning * ((low+high)/2 - from)
		remaining -= returning
		kept := max(wait+remaining*(high-from), minWait)
		best = max(best, chance/kept)
		// No later time is better, even if all remaining prompts returned now.
		if chance+remaining < best*kept {
			break
		}
	}
	return best
}

package handover

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/lovagereach/lovagereach/estimate"
)

const (
	// MaxServices and MaxRoutes bound the services and routes of a snapshot. A service takes about
	// 80 bytes, a route about 30.
	MaxServices, MaxRoutes = 64, 128
	// maxName is the longest name of a service or route.
	maxName = 128
	// maxSize is the largest size of a prompt in tokens, maxWait the longest time limit of a
	// request.
	maxSize, maxWait = 10_000_000, 24 * time.Hour
	// maxEntries is the largest number of entries.
	maxEntries = 100_000
	// outlierFactor is the factor by which an observer's mean time may differ from what the pooled
	// line predicts for its prompts, relative to the median observer. One that is off by more is left
	// out: it is wrong, or saw requests that waited behind others.
	outlierFactor = 1.5
	// minObservers is the number of observers from which on one can be told to be off.
	minObservers = 3
	// beforeShare is the fraction of its weight that the previous result has beside the observers
	// of now, which are few after a restart.
	beforeShare = 0.5
	// changeStep is the relative change of a value that is worth a message: a choice among runners
	// depends on their pending prefill, which is known no better.
	changeStep = 0.1
)

// Service is what was learned of one service.
type Service struct {
	Name string `cbor:"1,keyasint"`
	// Prefill holds the observations of prefill times.
	Prefill estimate.Regression `cbor:"2,keyasint"`
	// Small is the size up to which a prompt is small, 0 if too few were seen.
	Small int `cbor:"3,keyasint,omitempty"`
}

// Route is what was learned of one route: the longest time limit of its callers, in milliseconds.
type Route struct {
	Name   string `cbor:"1,keyasint"`
	WaitMs int64  `cbor:"2,keyasint"`
}

// Estimates is what entries have learned.
type Estimates struct {
	Services []Service `cbor:"1,keyasint,omitempty"`
	Routes   []Route   `cbor:"2,keyasint,omitempty"`
	// Entries is the number of entries, 0 if unknown.
	Entries int `cbor:"3,keyasint,omitempty"`
}

// Empty reports whether nothing was learned.
func (e *Estimates) Empty() bool { return len(e.Services)+len(e.Routes) == 0 }

// valid reports whether observations can have led to e.
func (e *Estimates) valid() bool {
	if len(e.Services) > MaxServices || len(e.Routes) > MaxRoutes || e.Entries < 0 || e.Entries > maxEntries {
		return false
	}
	for _, s := range e.Services {
		if !validName(s.Name) || s.Small < 0 || s.Small > maxSize || s.Prefill != (estimate.Regression{}) && !s.Prefill.Valid() {
			return false
		}
	}
	for _, r := range e.Routes {
		if !validName(r.Name) || r.WaitMs <= 0 || r.WaitMs > maxWait.Milliseconds() {
			return false
		}
	}
	return true
}

func validName(name string) bool { return name != "" && len(name) <= maxName }

// bound keeps as many services and routes as a snapshot may hold, those with most observations.
func (e *Estimates) bound() {
	if len(e.Services) > MaxServices {
		slices.SortFunc(e.Services, func(a, b Service) int { return cmp.Compare(b.Prefill.Weight, a.Prefill.Weight) })
		e.Services = e.Services[:MaxServices]
	}
	slices.SortFunc(e.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(e.Routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
	e.Routes = e.Routes[:min(len(e.Routes), MaxRoutes)]
}

// Merge returns what several observers have learned together, and what was known before. Of each
// value the observers' median counts or, for prefill times, the pooled observations of those that
// are near the median: none of them has enough alone.
func Merge(before Estimates, observers []Estimates) Estimates {
	var entries []int
	prefill, small, waits := make(map[string][]estimate.Regression), make(map[string][]int), make(map[string][]int64)
	add := func(e *Estimates, share float64) {
		for _, s := range e.Services {
			if r := s.Prefill; r.Weight > 0 {
				r.Weight, r.TokensSq, r.TokensByMs = r.Weight*share, r.TokensSq*share, r.TokensByMs*share
				prefill[s.Name] = append(prefill[s.Name], r)
			}
			if s.Small > 0 {
				small[s.Name] = append(small[s.Name], s.Small)
			}
			if _, known := prefill[s.Name]; !known {
				prefill[s.Name] = nil
			}
		}
		if e.Entries > 0 {
			entries = append(entries, e.Entries)
		}
		for _, r := range e.Routes {
			waits[r.Name] = append(waits[r.Name], r.WaitMs)
		}
	}
	add(&before, beforeShare)
	for i := range observers {
		add(&observers[i], 1)
	}
	merged := Estimates{Entries: median(entries)}
	for name, list := range prefill {
		merged.Services = append(merged.Services, Service{Name: name, Prefill: estimate.Pool(withoutOutliers(list)), Small: median(small[name])})
	}
	for name, list := range waits {
		merged.Routes = append(merged.Routes, Route{Name: name, WaitMs: median(list)})
	}
	merged.bound()
	return merged
}

// withoutOutliers leaves out the observers whose times are far from what those of all predict,
// compared with the median observer: one that is wrong also draws the line of all towards it.
func withoutOutliers(list []estimate.Regression) []estimate.Regression {
	perMs, baseMs := estimate.Pool(list).Line(0, 0)
	if len(list) < minObservers || perMs <= 0 {
		return list
	}
	relative := func(r estimate.Regression) float64 { return r.Ms / (baseMs + r.Tokens/perMs) }
	all := make([]float64, len(list))
	for i, r := range list {
		all[i] = relative(r)
	}
	middle := median(all)
	return slices.DeleteFunc(slices.Clone(list), func(r estimate.Regression) bool {
		own := relative(r)
		return own > middle*outlierFactor || own < middle/outlierFactor
	})
}

// median returns the median, the lower of two, and 0 of none.
func median[T cmp.Ordered](list []T) T {
	var none T
	if len(list) == 0 {
		return none
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[(len(sorted)-1)/2]
}

// Changed reports whether a value differs from the one before by more than a step, or is new.
func Changed(before, now Estimates) bool {
	if differ(float64(before.Entries), float64(now.Entries)) {
		return true
	}
	services := make(map[string]Service, len(before.Services))
	for _, s := range before.Services {
		services[s.Name] = s
	}
	for _, s := range now.Services {
		old, known := services[s.Name]
		perMs, baseMs := s.Prefill.Line(0, 0)
		oldPerMs, oldBaseMs := old.Prefill.Line(0, 0)
		if !known || differ(perMs, oldPerMs) || differ(baseMs, oldBaseMs) || differ(float64(s.Small), float64(old.Small)) ||
			s.Prefill.Weight > 2*old.Prefill.Weight {
			return true
		}
	}
	routes := make(map[string]int64, len(before.Routes))
	for _, r := range before.Routes {
		routes[r.Name] = r.WaitMs
	}
	return slices.ContainsFunc(now.Routes, func(r Route) bool { return differ(float64(r.WaitMs), float64(routes[r.Name])) })
}

func differ(a, b float64) bool { return math.Abs(a-b) > changeStep*max(math.Abs(a), math.Abs(b)) }

package simload

import (
	"fmt"
	"slices"
	"strings"
)

// Plan is a set of runs: each workload with each set of faults and each policy, and
// with each variant of the product's own policy.
type Plan struct {
	Workloads, Policies []string
	// Faults holds "quiet", "single", "pairs" or names joined by "+".
	Faults []string
	// Variants holds the names of variants, or "all".
	Variants []string
	Seed     uint64
	Scale    float64
	Links    float64
	Overlap  bool
}

var workloadMakers = map[string]func() *Workload{"merrimack": Merrimack, "adomako": Adomako}

// Runs returns the runs of a plan.
func (p Plan) Runs() ([]Run, error) {
	var out []Run
	for _, name := range p.Workloads {
		maker := workloadMakers[name]
		if maker == nil {
			return nil, fmt.Errorf("simload: unknown workload %q", name)
		}
		w := maker()
		sets, err := faultSets(w, p.Faults)
		if err != nil {
			return nil, err
		}
		for _, faults := range sets {
			base := Run{Workload: w, Faults: faults, Seed: p.Seed, Scale: p.Scale, Links: p.Links, Overlap: p.Overlap}
			runs, err := p.withPolicies(base)
			if err != nil {
				return nil, err
			}
			out = append(out, runs...)
		}
	}
	return out, nil
}

func (p Plan) withPolicies(base Run) ([]Run, error) {
	var out []Run
	for _, name := range p.Policies {
		r := base
		r.Policy = name
		out = append(out, r)
	}
	names := p.Variants
	if slices.Contains(names, "all") {
		names = VariantNames()
	}
	for _, name := range names {
		change := variants[name]
		if change == nil {
			return nil, fmt.Errorf("simload: unknown variant %q", name)
		}
		r := base
		r.Policy, r.Variant = PolicyLovage, name
		change(&r)
		out = append(out, r)
	}
	return out, nil
}

func faultSets(w *Workload, names []string) ([][]Fault, error) {
	var out [][]Fault
	for _, name := range names {
		switch name {
		case "quiet":
			out = append(out, nil)
		case "single":
			for _, f := range faultsOf(w) {
				out = append(out, []Fault{f})
			}
		case "pairs":
			out = append(out, faultPairs(w)...)
		default:
			set, err := namedFaults(w, strings.Split(name, "+"))
			if err != nil {
				return nil, err
			}
			out = append(out, set)
		}
	}
	return out, nil
}

func faultPairs(w *Workload) [][]Fault {
	var out [][]Fault
	all := faultsOf(w)
	for i := range all {
		for _, other := range all[i+1:] {
			out = append(out, []Fault{all[i], other})
		}
	}
	return out
}

func namedFaults(w *Workload, names []string) ([]Fault, error) {
	var out []Fault
	for _, name := range names {
		at := slices.IndexFunc(faultsOf(w), func(f Fault) bool { return f.Name == name })
		if at < 0 {
			return nil, fmt.Errorf("simload: unknown fault %q", name)
		}
		out = append(out, faultsOf(w)[at])
	}
	return out, nil
}

// variants holds single changes of the policy, to measure the effect of each.
var variants = map[string]func(*Run){
	"no-fetch":      func(r *Run) { r.Tuning.NoFetch = true },
	"no-verify":     func(r *Run) { r.Tuning.NoVerify = true },
	"no-forward":    func(r *Run) { r.Tuning.NoForward = true },
	"no-join":       func(r *Run) { r.Tuning.NoJoin = true },
	"no-prefetch":   func(r *Run) { r.Tuning.NoPrefetch = true },
	"no-admission":  func(r *Run) { r.Tuning.NoAdmit = true },
	"not-steered":   func(r *Run) { r.Tuning.Steered = -1 },
	"overlap":       func(r *Run) { r.Overlap = true },
	"recompute-x4":  func(r *Run) { r.Tuning.Route.RecomputeWeight = 4 },
	"recompute-x16": func(r *Run) { r.Tuning.Route.RecomputeWeight = 16 },
	"sample-1":      func(r *Run) { r.Tuning.Sample = 1 },
	"link-0.5":      func(r *Run) { r.Tuning.Route.LinkWeight = 0.5 },
}

// VariantNames returns the names of the variants in sorted order.
func VariantNames() []string {
	names := make([]string, 0, len(variants))
	for name := range variants {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

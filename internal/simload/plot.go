package simload

import (
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

// Sizes of the plot.
const (
	plotWidth  = 9 * vg.Inch
	plotHeight = 3.2 * vg.Inch
	barWidth   = 16
)

// WritePlot draws, for each workload and policy, the 95th percentile of the first
// token in the class with the tightest target and the recomputed fraction. It uses
// the results without faults, or all results if there are none.
func WritePlot(path string, results []Result) error {
	var quiet []Result
	for _, r := range results {
		if r.Faults == faultNames(nil) {
			quiet = append(quiet, r)
		}
	}
	if len(quiet) == 0 {
		quiet = results
	}
	first := func(r Result) float64 { return r.Classes[0].P95.Seconds() }
	share := func(r Result) float64 { return 100 * r.Recomputed }
	left, err := bars(quiet, "p95 of the first token, tightest class (s)", first)
	if err != nil {
		return err
	}
	right, err := bars(quiet, "prompt tokens recomputed (%)", share)
	if err != nil {
		return err
	}
	return saveSide(path, left, right)
}

func bars(results []Result, title string, value func(Result) float64) (*plot.Plot, error) {
	var workloads, policies []string
	for _, r := range results {
		if !slices.Contains(workloads, r.Workload) {
			workloads = append(workloads, r.Workload)
		}
		if !slices.Contains(policies, r.Policy) {
			policies = append(policies, r.Policy)
		}
	}
	p := plot.New()
	p.Title.Text = title
	p.Legend.Top = true
	for i, policy := range policies {
		values := make(plotter.Values, len(workloads))
		for _, r := range results {
			if r.Policy == policy {
				values[slices.Index(workloads, r.Workload)] = value(r)
			}
		}
		chart, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return nil, err
		}
		chart.Color = plotColor(i)
		chart.Offset = vg.Points(barWidth * (float64(i) - float64(len(policies)-1)/2))
		p.Add(chart)
		p.Legend.Add(policy, chart)
	}
	p.NominalX(workloads...)
	return p, nil
}

func saveSide(path string, left, right *plot.Plot) error {
	canvas := vgsvg.New(plotWidth, plotHeight)
	all := draw.New(canvas)
	half := plotWidth / 2
	left.Draw(draw.Crop(all, 0, -half, 0, 0))
	right.Draw(draw.Crop(all, half, 0, 0, 0))
	return writeFile(path, canvas)
}

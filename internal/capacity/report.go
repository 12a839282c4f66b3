package capacity

import (
	"fmt"
	"io"
	"strings"
)

// All returns every probe.
func All() []Probe {
	var probes []Probe
	for _, group := range [][]Probe{
		ConfigProbes(), TreeProbes(), CellProbes(), ReportProbes(), HomeProbes(), LedgerProbes(), ControlProbes(), QuarantineProbes(), LimitProbes(), OriginProbes(), FailureProbes(),
	} {
		probes = append(probes, group...)
	}
	return probes
}

// RunAll runs the probes in order and writes a progress line for each to log.
func RunAll(probes []Probe, log io.Writer) ([]Result, error) {
	results := make([]Result, 0, len(probes))
	for _, probe := range probes {
		fmt.Fprintf(log, "measuring %s: %s\n", probe.Role, probe.Name)
		result, err := probe.Run()
		if err != nil {
			return nil, err
		}
		results = append(results, result)
	}
	return results, nil
}

// WriteTable writes results as a Markdown table.
func WriteTable(w io.Writer, results []Result) error {
	var b strings.Builder
	b.WriteString("| role | measured | sizes and values | growth | spread | at the target |\n")
	b.WriteString("|---|---|---|---|---|---|\n")
	for _, r := range results {
		fmt.Fprintf(&b, "| %s | %s | %s | %.2f | %.0f%% | %s at %d |\n",
			r.Probe.Role, r.Probe.Name, points(r), r.Exponent, 100*r.Fit.Spread,
			quantity(r.AtTarget, r.Probe.Unit), r.Probe.Target)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func points(r Result) string {
	parts := make([]string, len(r.Points))
	for i, p := range r.Points {
		parts[i] = fmt.Sprintf("%.0f: %s", p.Size, quantity(p.Value, r.Probe.Unit))
	}
	return fmt.Sprintf("%s (%s)", strings.Join(parts, ", "), r.Probe.SizeName)
}

// quantity formats a value with a unit prefix that suits its magnitude.
func quantity(value float64, unit Unit) string {
	switch unit {
	case UnitBytes, UnitBytesPerSec:
		return scaled(value, 1024, string(unit), "", "Ki", "Mi", "Gi")
	case UnitNanoseconds:
		return scaled(value/1e9, 0, "s", "")
	case UnitSeconds:
		return scaled(value, 0, "s", "")
	default:
		return fmt.Sprintf("%.0f %s", value, unit)
	}
}

// scaled formats a value with the first prefix under which it is less than step.
// A step of zero means a time in seconds, with prefixes below one.
func scaled(value, step float64, unit string, prefixes ...string) string {
	if step == 0 {
		return scaledTime(value)
	}
	for _, prefix := range prefixes[:len(prefixes)-1] {
		if value < step {
			return fmt.Sprintf("%.3g %s%s", value, prefix, unit)
		}
		value /= step
	}
	return fmt.Sprintf("%.3g %s%s", value, prefixes[len(prefixes)-1], unit)
}

func scaledTime(seconds float64) string {
	switch {
	case seconds < 1e-6:
		return fmt.Sprintf("%.3g ns", seconds*1e9)
	case seconds < 1e-3:
		return fmt.Sprintf("%.3g µs", seconds*1e6)
	case seconds < 1:
		return fmt.Sprintf("%.3g ms", seconds*1e3)
	default:
		return fmt.Sprintf("%.3g s", seconds)
	}
}

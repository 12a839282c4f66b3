package main

import (
	"encoding/json"
	"fmt"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
	outputYAML  = "yaml"
)

// print writes value as JSON or YAML, or as the rows that table adds.
func (t *tool) print(value any, table func(*rows)) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	switch t.output {
	case outputJSON:
		_, err = fmt.Fprintln(t.streams.out, string(data))
		return err
	case outputYAML:
		if data, err = yaml.JSONToYAML(data); err != nil {
			return err
		}
		_, err = t.streams.out.Write(data)
		return err
	default:
		out := &rows{writer: tabwriter.NewWriter(t.streams.out, 0, 8, 2, ' ', 0)}
		table(out)
		return out.writer.Flush()
	}
}

// rows writes a table with aligned columns.
type rows struct{ writer *tabwriter.Writer }

func (r *rows) add(cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(r.writer, "\t")
		}
		fmt.Fprint(r.writer, cell)
	}
	fmt.Fprintln(r.writer)
}

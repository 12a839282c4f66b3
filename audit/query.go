package audit

import (
	"slices"
	"time"

	"github.com/lovagereach/lovagereach/ident"
)

// MaxResults is the maximum number of records in the answer to a query.
const MaxResults = 1000

// Query selects records. An empty field selects all records.
type Query struct {
	// Open selects only the overdue requests, those without an outcome after their
	// deadline.
	Open    bool           `cbor:"1,keyasint,omitempty" json:"open,omitempty"`
	Team    ident.Team     `cbor:"2,keyasint,omitempty" json:"team,omitempty"`
	Request *ident.Request `cbor:"3,keyasint,omitempty" json:"request,omitempty"`
	Batch   string         `cbor:"4,keyasint,omitempty" json:"batch,omitempty"`
	// Limit is the maximum number of records; zero means MaxResults.
	Limit int `cbor:"5,keyasint,omitempty" json:"limit,omitempty"`
}

func (q Query) limit() int {
	if q.Limit <= 0 || q.Limit > MaxResults {
		return MaxResults
	}
	return q.Limit
}

func (q Query) matches(now time.Time, r *Record) bool {
	switch {
	case q.Open && !r.Overdue(now):
		return false
	case q.Team != "" && q.Team != r.Team:
		return false
	case q.Request != nil && *q.Request != r.Request:
		return false
	case q.Batch != "" && q.Batch != r.Batch:
		return false
	}
	return true
}

// Result is the answer to a query, ordered by deadline.
type Result struct {
	Records []Record `cbor:"1,keyasint" json:"records"`
	// More is set if records beyond the limit were left out.
	More    bool          `cbor:"2,keyasint,omitempty" json:"more,omitempty"`
	Batches []BatchStatus `cbor:"3,keyasint,omitempty" json:"batches,omitempty"`
}

// Query returns the open requests and the retained closed ones that q selects.
func (t *Table) Query(now time.Time, q Query) Result {
	var found []Record
	for _, entry := range t.open {
		record := Record{Opening: entry.Opening}
		if q.matches(now, &record) {
			found = append(found, record)
		}
	}
	for i := range t.ring {
		if q.matches(now, &t.ring[i]) {
			found = append(found, t.ring[i])
		}
	}
	return cut(found, q.limit())
}

// cut sorts the records by deadline and truncates them to limit.
func cut(found []Record, limit int) Result {
	slices.SortFunc(found, func(a, b Record) int { return compareOpenings(a.Opening, b.Opening) })
	if len(found) > limit {
		return Result{Records: found[:limit], More: true}
	}
	return Result{Records: found}
}

// Merge merges the answers of two traces to the query q.
func Merge(a, b Result, q Query) Result {
	merged := cut(append(slices.Clone(a.Records), b.Records...), q.limit())
	merged.More = merged.More || a.More || b.More
	merged.Batches = append(slices.Clone(a.Batches), b.Batches...)
	slices.SortFunc(merged.Batches, func(x, y BatchStatus) int { return compareBatches(x.BatchID, y.BatchID) })
	return merged
}

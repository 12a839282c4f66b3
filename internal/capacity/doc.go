// Package capacity measures how the cost of each role grows with the size of the
// deployment, and computes the cost at a target size from the slopes.
//
// A Probe measures one quantity at three or more sizes. FitLine fits a line to the
// results. docs/CAPACITY.md is checked against the report. The limits on the cost
// of control are constants of this package.
package capacity

// Package rollout decides which model runners load weights that were named, and
// which may take no new prompt any more because they lack weights past the bound.
//
// A version has a bound from its naming on: by then no runner may begin a prompt
// on older weights. A newer version sets a bound of its own and takes nothing
// from that of an older one.
package rollout

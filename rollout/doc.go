// Package rollout decides which model runners load a new target version of weights, and
// which runners may accept no new prompt because they lack a version whose bound has
// expired.
//
// The bound of a version starts when the version becomes a target: after it, no runner may
// begin a prompt on older weights. A newer version has a bound of its own and does not
// extend the bound of an older one.
package rollout

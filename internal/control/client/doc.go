// Package client implements the entry's side of configuration and serving
// leases.
//
// It finds the leader among the control hosts, keeps the configuration up to
// date, acknowledges each revision, renews the serving lease and reports the
// engines that the entry follows.
package client

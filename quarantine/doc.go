// Package quarantine tells which requests end the upstreams that run them.
package quarantine

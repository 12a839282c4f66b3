// Package telemetry is the HTTP listener for operators of one process. It serves metrics,
// health, readiness, profiles and a dump of the process's state, on an address that is
// separate from that of callers.
package telemetry

// Package process implements what all binaries have in common: flags, checked
// settings, structured logs, signals and exit codes. A binary describes itself by a
// Spec and calls Main.
package process

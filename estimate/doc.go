// Package estimate learns from what is observed how fast engines are and how large
// their prompts, so that decisions need no constant of an engine or a workload.
//
// Each estimate begins with a value that harms nobody, stays within bounds, and
// forgets: what was observed long ago counts less than what was observed last.
// Observations and their order are all it depends on; there is no clock.
package estimate

// Package estimate derives the speed of engines and the size of their prompts from
// observations, so that decisions do not depend on constants of an engine or a workload.
//
// Each estimate starts at a safe value, stays within bounds, and is weighted by recency:
// older observations count less than newer ones. Estimates depend only on the observations
// and their order, not on a clock.
package estimate

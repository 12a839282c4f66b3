// Package port declares the interfaces between the system and its surroundings:
// model engines, store hosts, plain services and the system's own peers. Adapters
// under internal/adapter implement them; porttest has one table of contract tests
// for each, run over every implementation.
//
// Every method takes a context with a deadline. An error that an attempt
// returns is classified by outcome.KindOf: *outcome.NotRun only when no byte
// can have reached the remote side, or when the remote side itself stated that it
// did not run the request; every uncertain result is *outcome.Unknown.
package port

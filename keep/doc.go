// Package keep manages kept blocks. It decides which blocks to export to which
// store host and when, which copies to free when capacity is short, which
// prompts to prefetch before an expected return, and which copies readers may
// use.
//
// A copy passes through the phases reserving, writing, verifying, committed and
// freeing. Readers get only committed copies and pin them under a lease; a copy
// is freed once no pin can be active. Every copy carries the store's
// incarnation and the slot's generation, and the store checks both again, so
// reading a copy that no longer exists costs a recompute and never returns
// wrong data.
//
// The value of keeping a prompt is learned from the gaps observed between its
// uses, for each team and class. Estimates back off to the class and then to
// all prompts where there are few observations.
//
// One process, the home of a prompt, decides for it; the store host arbitrates
// where two processes both consider themselves its home. The package is pure:
// it starts no goroutine, reads no clock and takes its source of randomness
// from the caller. A Manager is not safe for concurrent use.
package keep

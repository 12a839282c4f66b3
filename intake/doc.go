// Package intake decides what a process holds for clients that it doesn't control: how many connections
// it keeps open and which one it closes for a new one, what a head that arrives will take in memory, and
// how much memory requests may take beyond what each connection is allowed.
package intake

// Package entry handles a caller's request from its arrival to the end of its
// answer. It connects the decision packages to the ports: the configuration in
// force, the serving lease, admission, the choice of upstream, the fetch of
// cached blocks, the relayed stream, and the blocks that are kept afterwards.
//
// One Entry serves all callers of one entry host. Its decision state is guarded
// by one mutex that is never held during I/O. A request locks it a few times
// for microseconds each, independent of the number of teams and upstreams.
package entry

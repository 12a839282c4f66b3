// Package resumption decides at which software version an interrupted stream may go on.
//
// Upstreams of several software versions may serve one service side by side. What two versions
// write doesn't fit together, so that a stream may only be resumed at the version that began it,
// at any entry and after the entry that began it has ended.
//
// While a service has one version, that is the one. The control hosts list the upstreams, and an
// entry uses a version only SettleTime after it learned of it, so that an entry whose state is
// younger than that knows every version in use. Beside other versions, each entry records which
// version began a stream: in its own memory and at some control hosts, which are chosen by hash
// so that any entry finds them. If neither says which version it was, the stream must not go on.
//
// All types are state machines: time is an argument, and they are not safe for concurrent use.
package resumption

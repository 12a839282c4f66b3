// Package quarantine identifies requests that crash the upstreams that run them, so
// that they are sent to no further upstream.
//
// Such a request fails all other requests at its upstream, and its caller retries it,
// possibly at another entry. When an upstream crashes, each request that was in
// flight there may be the cause. A Tracker records these crashes. A request that was
// in flight at CrashThreshold crashes or more, and was the only such request at one
// of them, is quarantined. The crashes that it explains do not count against other
// requests, which were only retried on the same upstreams.
//
// A request that was served completely has crashed no upstream and is cleared.
// Crashes expire after CrashRetention; a quarantined request is then tried again,
// because the upstreams may have been fixed.
//
// A part of a prompt may crash upstreams too, under requests that differ in all else.
// A part that was in flight at PartThreshold groups of crashes or more is quarantined,
// unless one request or another part explains them. It stays quarantined until a trial,
// one request in all at increasing delays, is served.
package quarantine

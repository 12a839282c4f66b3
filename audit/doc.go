// Package audit records which upstream answered each request and detects requests
// without an outcome.
//
// Each accepted request is opened in a Table and closed with its outcome. A request
// that is still open after its deadline is overdue and is listed. A Trace is the
// replicated form for classes with full audit: it survives the loss of the entry
// host. A batch is declared with the number of its requests and is complete only when
// each of them has an outcome.
package audit

package outcome

import "errors"

// KindOf classifies the error of an attempt. A nil error is KindDone. An
// error of a type outside this package is KindUnknown: without proof that nothing
// was sent, a request may have run.
func KindOf(err error) Kind {
	if err == nil {
		return KindDone
	}
	var notRun *NotRun
	if errors.As(err, &notRun) {
		return KindNotRun
	}
	var failed *Failed
	if errors.As(err, &failed) {
		return KindFailed
	}
	return KindUnknown
}

//go:build !linux

package boottime

import "time"

func sinceBoot() (time.Duration, bool) { return 0, false }

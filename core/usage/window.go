package usage

import "time"

// WindowAt returns the number of the window of a length that a time is in.
func WindowAt(at time.Time, length time.Duration) int64 {
	return at.UnixMilli() / length.Milliseconds()
}

// WindowEnd returns the end of a window of a length.
func WindowEnd(window int64, length time.Duration) time.Time {
	return time.UnixMilli((window + 1) * length.Milliseconds())
}

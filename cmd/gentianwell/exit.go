package main

// The exit codes.
const (
	// exitFailed: the command did not succeed.
	exitFailed = 1
	// exitUsage: wrong arguments or settings; nothing was done.
	exitUsage = 2
	// exitUnreachable: the entry VM did not answer.
	exitUnreachable = 4
)

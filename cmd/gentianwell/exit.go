package main

// Exit codes. See also exitConflict.
const (
	// exitFailed means that the command failed.
	exitFailed = 1
	// exitUsage means invalid arguments or settings; nothing was done.
	exitUsage = 2
	// exitUnreachable means that the entry VM or the platform could not be reached,
	// that the platform lacks changes that are in force, or that the outcome is
	// unknown.
	exitUnreachable = 4
)

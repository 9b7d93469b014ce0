// Package runner runs a job to its end.
package runner

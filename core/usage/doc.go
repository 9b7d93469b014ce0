// Package usage counts the requests of each team that began to run in windows of time.
//
// # Usage
//
//	counter := usage.NewCounter() // on each VM
//	counter.Add(usage.WindowAt(now, length), team)
//	table := usage.NewTable() // on the VM that reports
//	table.Merge(current, source, windows)
//	report := table.Report(window)
//
// The package has no I/O. A Counter is safe for concurrent use, a Table is not.
package usage

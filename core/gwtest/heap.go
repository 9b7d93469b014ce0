package gwtest

import "runtime"

// Heap runs a garbage collection and returns the bytes allocated on the heap, for
// memory benchmarks.
func Heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

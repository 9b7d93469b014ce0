package gwtest

import "runtime"

// Heap returns the bytes of the heap in use, for benchmarks of memory.
func Heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

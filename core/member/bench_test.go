package member

import (
	"fmt"
	"runtime"
	"testing"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
)

var benchSizes = []int{9, 100, 330, 930}

func benchVMs(n int) VMs {
	var out VMs
	for i := range n {
		out = append(out, vm(call.VMID(fmt.Sprintf("vm-%d", i)), call.Zone(fmt.Sprint(i%7)), StateLive))
	}
	return out
}

func benchView(b *testing.B, n int) *View {
	v := newView(b)
	list := benchVMs(n)
	v.SetList(t0, list)
	for _, m := range list {
		v.ApplyStatement(t0, Statement{VM: m, Incarnation: 1, Sequence: 1})
		v.Answered(t0, m.ID, StateLive)
	}
	return v
}

func BenchmarkVerdicts(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v := benchView(b, n)
			b.ReportAllocs()
			for b.Loop() {
				v.Verdicts(t0, RoleEntry)
			}
		})
	}
}

func BenchmarkSetList(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, list := benchView(b, n), benchVMs(n)
			b.ReportAllocs()
			for b.Loop() {
				v.SetList(t0, list)
			}
		})
	}
}

func BenchmarkMemory(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := gwtest.Heap()
				v := benchView(b, n)
				b.ReportMetric(float64(gwtest.Heap()-before)/float64(n), "B/VM")
				runtime.KeepAlive(v)
			}
		})
	}
}

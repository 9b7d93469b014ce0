package peerpb

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
)

// BenchmarkSharesMessage reports the size of a shares request and its reply per demand.
func BenchmarkSharesMessage(b *testing.B) {
	for _, n := range []int{1, 16, 64, 256} {
		b.Run(fmt.Sprintf("demands=%d", n), func(b *testing.B) {
			request, reply := &SharesRequest{Vm: "e-123"}, &SharesReply{}
			for i := range n {
				key := fmt.Sprintf("team/team-%04d/tokens", i)
				request.Demands = append(request.Demands, &Demand{Key: key, Wanted: 12.5})
				reply.Shares = append(reply.Shares, &Share{Key: key, Rate: 20.25, TtlMilliseconds: 10000})
			}
			var size int
			for b.Loop() {
				size = proto.Size(request) + proto.Size(reply)
			}
			b.ReportMetric(float64(size)/float64(n), "B/demand")
		})
	}
}

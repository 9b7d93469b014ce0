package route_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"gentianwell/core/call"
	"gentianwell/core/route"
)

func Example() {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	r, err := route.New(route.Config{Self: "e1", Zone: "sala", Rand: rand.New(rand.NewPCG(1, 2))})
	if err != nil {
		fmt.Println(err)
		return
	}
	r.SetReplicas(now, route.Replicas{
		{ID: "a", Zone: "sala", Address: netip.MustParseAddrPort("127.0.0.1:81"), Models: []call.Model{"drafts"}, Slots: 4},
		{ID: "b", Zone: "enkoping", Address: netip.MustParseAddrPort("127.0.0.1:82"), Models: []call.Model{"drafts"}, Slots: 4},
	})
	r.Report(now, "a", route.Load{Running: 4, MeasuredAt: now.Add(-time.Second)})

	c := call.Call{ID: "r-1", Team: "judges", Model: "drafts"}
	d, err := r.Pick(now, c, nil)
	if err != nil {
		fmt.Println(err)
		return
	}
	r.Started(now, d.Replica.ID, 250)
	fmt.Println(d.Replica.ID, d.Reason, d.Skipped)
	r.Finished(now, d.Replica.ID, 250, route.Result{Status: route.StatusOK, FirstToken: 300 * time.Millisecond})
	// Output: b otherZone [{a full}]
}

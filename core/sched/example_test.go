package sched_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianwell/core/call"
	"gentianwell/core/sched"
)

func Example() {
	config := sched.Defaults()
	config.SharedCapacity, config.TierCapacity = 1, 1
	config.Rand = rand.New(rand.NewPCG(1, 0))
	queue, err := sched.New(config)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Unix(0, 0)
	offer := func(id string, team call.Team, tier call.Tier) {
		c := call.Call{ID: id, Team: team, Class: "draft", Tier: tier, Model: "drafts"}
		v := queue.Offer(now, sched.Item{Call: c, Cost: 200})
		fmt.Println(id, v.Reason)
		for _, r := range v.Displaced {
			fmt.Println(r.Item.Call.ID, r.Reason)
		}
	}
	offer("summary-1", "judges", 7)
	offer("summary-2", "parish", 7)
	offer("plot-1", "entries", 0)
	offer("plot-2", "desk", 0)
	item, reason, ok := queue.Next(now, "drafts")
	fmt.Println(item.Call.ID, reason, ok)
	// Output:
	// summary-1 queued
	// summary-2 queued
	// plot-1 queued
	// plot-2 queued
	// summary-2 displaced
	// plot-1 priority true
}

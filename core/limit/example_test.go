package limit_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"gentianwell/core/limit"
)

func Example() {
	allocatorConfig := limit.AllocatorDefaults()
	allocatorConfig.Capacity = func(time.Time, limit.Key) (float64, time.Time) { return 100, time.Time{} }
	localConfig := limit.LocalDefaults()
	localConfig.Limit = func(limit.Key) float64 { return 100 }
	localConfig.Fallback = func() float64 { return 0.1 / 9 }
	localConfig.Rand = rand.New(rand.NewPCG(1, 0))
	now := time.Unix(0, 0)
	allocator, err := limit.NewAllocator(now, allocatorConfig)
	if err != nil {
		fmt.Println(err)
		return
	}
	local, err := limit.NewLocal(localConfig)
	if err != nil {
		fmt.Println(err)
		return
	}
	now = now.Add(allocatorConfig.TTL) // A new allocator grants nothing until then.
	key := limit.TeamRequests("judges")
	countAllowed := func() (n int) {
		for range 60 {
			if local.Allow(now, limit.Charge{Key: key, Units: 1}).Allowed {
				n++
			}
		}
		return n
	}
	fmt.Println("without a share:", countAllowed())
	local.Grant(now, now, allocator.Report(now, "e1", local.Demands(now)))
	now = now.Add(time.Second)
	fmt.Println("with a share:", countAllowed())
	// Output:
	// without a share: 2
	// with a share: 60
}

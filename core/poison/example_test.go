package poison_test

import (
	"fmt"
	"time"

	"gentianwell/core/poison"
)

func Example() {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	e1, err := poison.New(poison.Config{Self: "e1"})
	if err != nil {
		fmt.Println(err)
		return
	}
	e2, err := poison.New(poison.Config{Self: "e2"})
	if err != nil {
		fmt.Println(err)
		return
	}
	const body poison.Fingerprint = 0xbeef

	// Two replicas crash while they run the request for e1.
	fmt.Println(e1.Crashed(now, body, "replica-1", false).Action)
	fmt.Println(e1.Crashed(now.Add(time.Second), body, "replica-2", false).Action)

	// The caller sends it again through e2, which has received the record by gossip.
	for _, item := range e1.Pending(now) {
		if err := e2.Merge(now, item); err != nil {
			fmt.Println(err)
		}
	}
	fmt.Println(e2.Judge(now.Add(3*time.Second), body).Action)
	fmt.Println(e2.Crashed(now.Add(4*time.Second), body, "replica-3", true).Action)
	// Output:
	// run
	// alone
	// alone
	// refuse
}

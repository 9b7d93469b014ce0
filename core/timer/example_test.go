package timer_test

import (
	"fmt"
	"time"

	"gentianwell/core/timer"
)

func ExampleService() {
	now := time.Unix(0, 0)
	s := timer.New(timer.Config{Now: func() time.Time { return now }})
	s.Every("poll", time.Second, func(time.Time) { fmt.Println("poll") })
	s.Advance(now.Add(time.Second))
	// Output: poll
}

package call_test

import (
	"fmt"

	"gentianwell/core/call"
)

func ExampleCall_Validate() {
	c := call.Call{ID: "r-1", Team: "judges", Class: "plot", Tier: 9, Model: "drafts"}
	fmt.Println(c.Validate())
	// Output: Call.Validate: Tier 9, allowed 0 to 7 not valid
}

package estim_test

import (
	"fmt"
	"time"

	"gentianwell/core/call"
	"gentianwell/core/estim"
)

func Example() {
	estimator, err := estim.New(estim.Defaults())
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Unix(0, 0)
	question := call.Call{Class: "rules", Model: "drafts", PromptTokens: 100}
	fmt.Println(estimator.Estimate(now, question).Cost)
	for range 50 {
		estimator.Finished(now, estim.Sample{
			Class: "rules", Model: "drafts", AnswerTokens: 20,
			FirstToken: 64 * time.Millisecond, PerToken: 16 * time.Millisecond,
		})
	}
	fmt.Println(estimator.Estimate(now, question).Cost)
	// Output:
	// 356
	// 120
}

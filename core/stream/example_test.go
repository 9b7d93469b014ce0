package stream_test

import (
	"fmt"

	"gentianwell/core/stream"
)

// The first engine crashes after one token; a second one continues the answer.
func Example() {
	a, err := stream.New(stream.Config{
		Kind:       stream.KindCompletion,
		Body:       []byte(`{"prompt":"Count:","stream":true}`),
		Engine:     stream.Profile{CanResume: true},
		Idempotent: true,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	attempts := [][]string{
		{`{"id":"a","model":"m","choices":[{"index":0,"text":" one","finish_reason":null}]}`},
		{`{"id":"b","model":"m","choices":[{"index":0,"text":" two","finish_reason":"stop"}]}`, "[DONE]"},
	}
	for _, events := range attempts {
		body, err := a.Begin()
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Printf("request %s\n", body)
		for _, data := range events {
			out, err := a.Feed(stream.Event{Raw: []byte("data: " + data + "\n"), Data: []byte(data)})
			if err != nil {
				fmt.Println(err)
			}
			fmt.Printf("%s", out)
		}
		d := a.End("connection was lost")
		fmt.Println(d.Action, "because", d.Reason)
	}
	// Output:
	// request {"prompt":"Count:","stream":true}
	// data: {"id":"a","model":"m","choices":[{"index":0,"text":" one","finish_reason":null}]}
	// resume because connection was lost; the text so far is handed on
	// request {"prompt":"Count: one","stream":true}
	// data: {"choices":[{"index":0,"text":" two","finish_reason":"stop"}],"created":0,"id":"a","model":"m"}
	//
	// data: [DONE]
	// finish because answer is complete
}

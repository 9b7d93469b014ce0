// Package stream ensures that a streamed answer, chat or plain completion, reaches
// the caller complete and without duplicates, even if it takes several attempts on
// different replicas.
//
// An Answer receives the chunks of each attempt and returns what to send to the
// caller: a single stream with one id and no repeated chunks, terminated by a
// finish reason and [DONE] or by an error event. A truncated or duplicated text
// never looks complete. When an attempt ends early, End decides whether the next
// attempt resumes from the text so far or restarts, or whether the caller gets an
// error event, and returns the reason.
//
// OpenAI-compatible chunks carry no sequence number, and two equal tokens in a
// row produce two equal chunks. If the engine can report a token count in each
// chunk (continuous usage statistics), the Answer requests it and uses it as the
// sequence number. The count is removed from the caller's stream unless the caller
// asked for it.
//
// # Usage
//
//	a, err := stream.New(stream.Config{Kind: stream.KindChat, Body: body, Idempotent: true, MaxAttempts: 3})
//	if err != nil {
//		return err
//	}
//	for {
//		body, err := a.Begin()
//		// send body; for each event of the response:
//		//	out, err := a.Feed(stream.Event{Raw: raw, Data: data})
//		//	write out to the caller; abort this attempt on an error
//		d := a.End(cause)
//		// write d.Event to the caller; leave the loop unless d.Action.Again()
//	}
//
// The package does no I/O. An Answer is not safe for concurrent use.
package stream

// Package stream guards the wholeness of streamed answers, chat and completions,
// over the attempts that one answer may take on several replicas.
//
// An Answer is fed the chunks of each attempt and gives out what the caller is to
// see: one stream with one id, without repeated chunks, ended by its finish and
// [DONE] or by an error event; never a short or doubled text that looks whole.
// When an attempt ends too early, End decides whether the next attempt resumes
// from the text so far, restarts, or the caller gets an error event, with the
// reason.
//
// OpenAI-compatible chunks carry no sequence number, and two equal tokens in a
// row give two equal chunks. Where the engine can count tokens in each chunk
// (continuous usage statistics), the Answer asks for it and uses the count as the
// sequence number; the caller does not see it.
//
// # Usage
//
//	a, err := stream.New(stream.Config{Kind: stream.KindChat, Body: body, Idempotent: true, MaxAttempts: 3})
//	if err != nil {
//		return err
//	}
//	for {
//		body, err := a.Begin()
//		// send body; for each event of the answer:
//		//	out, err := a.Feed(stream.Event{Raw: raw, Data: data})
//		//	write out to the caller; with an error give up this attempt
//		d := a.End(cause)
//		// write d.Event to the caller; leave the loop unless d.Action.Again()
//	}
//
// The package has no I/O. An Answer belongs to one goroutine.
package stream

package stream

import (
	"fmt"

	"github.com/juju/errors"
)

// doneData is the data of the event that terminates a stream.
const doneData = "[DONE]"

// Event is one server-sent event: its raw bytes, and the content of its data lines.
type Event struct {
	Raw  []byte
	Data []byte
}

// Stats holds counters of an answer.
type Stats struct {
	// Attempts is the number of attempts started.
	Attempts int
	// Tokens is the number of generated tokens in the text so far; 0 once the answer
	// has failed.
	Tokens int
	// Wasted is the number of tokens that were generated and discarded, including
	// those of a failed answer.
	Wasted int
	// Repeats is the number of repeated chunks that were dropped.
	Repeats int
}

// Answer tracks one answer to one caller across its attempts.
type Answer struct {
	config  Config
	request request
	choices []choice
	stats   Stats

	id           string // id, model and created as sent to the caller
	model        string
	created      int64
	sentChunk    bool // a chunk was sent to the caller or assembled
	promptTokens int  // prompt tokens of the first attempt

	attemptAnswerID string // id in the chunks of the current attempt
	attemptChunks   int    // chunks of the current attempt
	resumed         bool
	ended           bool
	complete        bool
	buf             []byte // holds the slice that Feed returns
	assembly        assembly
	broken          bool // the caller may have a wrong text
}

// New returns an Answer whose first attempt has not started.
//
// Errors: NotValid for an invalid configuration, a body that is not a JSON object of a
// completion request, or a number of choices out of range.
func New(c Config) (*Answer, error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "New")
	}
	r, err := parseRequest(c)
	if err != nil {
		return nil, errors.Annotate(err, "New")
	}
	a := &Answer{config: c, request: r, choices: make([]choice, r.choiceCount()), ended: true}
	a.assembly.choices = make([]assembledChoice, len(a.choices))
	return a, nil
}

// Stats returns the counts so far.
func (a *Answer) Stats() Stats { return a.stats }

// Text returns the text so far of the choice with the index.
func (a *Answer) Text(index int) string { return a.choices[index].text.String() }

// Complete reports whether the whole answer has been received.
func (a *Answer) Complete() bool { return a.complete }

// Begin starts an attempt and returns the request body to send.
func (a *Answer) Begin() ([]byte, error) {
	a.stats.Attempts++
	a.ended = false
	a.attemptAnswerID = ""
	a.attemptChunks = 0
	a.resumed = a.hasContent()
	for i := range a.choices {
		a.choices[i].begin(a.resumed && a.config.Engine.Echoes)
	}
	if !a.resumed {
		return a.request.initialBody()
	}
	return a.request.resumedBody(a.choices[0].text.String(), a.choices[0].tokens)
}

// AttemptID returns the id of the current attempt, to be sent as X-Request-Id.
func (a *Answer) AttemptID() string {
	return fmt.Sprintf("%s-%d", a.config.RequestID, a.stats.Attempts)
}

// contentChunks returns the number of chunks with content in the current attempt.
func (a *Answer) contentChunks() int {
	n := 0
	for i := range a.choices {
		n += a.choices[i].contentChunks
	}
	return n
}

// hasContent reports whether the answer has content or a finish reason so far.
func (a *Answer) hasContent() bool {
	for i := range a.choices {
		ch := &a.choices[i]
		if ch.text.Len() > 0 || ch.nonText || ch.finished {
			return true
		}
	}
	return false
}

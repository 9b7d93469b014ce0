package stream

import (
	"fmt"

	"github.com/juju/errors"
)

// doneData is the payload that ends a stream.
const doneData = "[DONE]"

// Event is one server-sent event: as it came, and the payload of its data lines.
type Event struct {
	Raw  []byte
	Data []byte
}

// Stats counts what happened to an answer.
type Stats struct {
	// Attempts is how many were begun.
	Attempts int
	// Tokens is how many tokens the caller was given.
	Tokens int
	// Wasted is how many tokens were generated and discarded or generated again,
	// those of an answer that came to nothing included.
	Wasted int
	// Repeats is how many repeated chunks were dropped.
	Repeats int
}

// Answer is one answer to one caller.
type Answer struct {
	config  Config
	request request
	choices []choice
	stats   Stats

	id           string // what the caller sees
	model        string
	created      int64
	sentChunk    bool // the caller was given a chunk
	promptTokens int  // prompt tokens of the first attempt

	attemptAnswerID string // of the present attempt
	attemptChunks   int    // chunks of the present attempt
	resumed         bool
	ended           bool
	complete        bool
	buf             []byte // for what Feed returns
	assembly        assembly
	broken          bool // the caller was given a wrong text
}

// New returns an answer of which nothing has come yet.
//
// Errors: NotValid for a configuration that is not, or a body that is no JSON object.
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

// Text returns the text so far of one choice.
func (a *Answer) Text(index int) string { return a.choices[index].text.String() }

// Complete reports whether the answer came whole.
func (a *Answer) Complete() bool { return a.complete }

// Begin begins an attempt and returns the body to send.
func (a *Answer) Begin() ([]byte, error) {
	a.stats.Attempts++
	a.ended = false
	a.attemptAnswerID = ""
	a.attemptChunks = 0
	a.resumed = a.sentContent()
	for i := range a.choices {
		a.choices[i].begin(a.resumed && a.config.Engine.Echoes)
	}
	if !a.resumed {
		return a.request.initialBody()
	}
	return a.request.resumedBody(a.choices[0].text.String(), a.choices[0].tokens)
}

// AttemptID returns the id of the present attempt, to be sent as X-Request-Id.
func (a *Answer) AttemptID() string {
	return fmt.Sprintf("%s-%d", a.config.RequestID, a.stats.Attempts)
}

func (a *Answer) contentChunks() int {
	n := 0
	for i := range a.choices {
		n += a.choices[i].contentChunks
	}
	return n
}

// sentContent reports whether the caller was given more than empty chunks.
func (a *Answer) sentContent() bool {
	for i := range a.choices {
		ch := &a.choices[i]
		if ch.text.Len() > 0 || ch.nonText || ch.finished {
			return true
		}
	}
	return false
}

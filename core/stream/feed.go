package stream

import (
	"strings"

	"github.com/juju/errors"
)

// Feed processes the next event of the current attempt and returns the bytes to
// send to the caller, possibly none. The slice is valid until the next call.
//
// Errors: a Fault, after which the attempt must be aborted and End called.
func (a *Answer) Feed(e Event) ([]byte, error) {
	switch {
	case a.ended:
		return nil, FaultEnded
	case len(e.Data) == 0:
		return a.comment(e), nil
	case string(e.Data) == doneData:
		return a.feedDone(e)
	}
	c, err := parseChunk(e.Data)
	if err != nil {
		return nil, a.recordFault(err)
	}
	if err := a.identify(c); err != nil {
		return nil, a.recordFault(err)
	}
	if len(c.Choices) == 0 {
		return a.feedUsage(e, c)
	}
	return a.feedChoices(e, c)
}

// comment forwards an event without data, such as a keep-alive comment.
func (a *Answer) comment(e Event) []byte {
	if a.config.Assemble {
		return nil
	}
	return e.Raw
}

// recordFault ends the attempt because of the fault and returns the fault.
func (a *Answer) recordFault(err error) error {
	a.ended = true
	a.broken = a.broken || errors.Is(err, FaultOrder) || errors.Is(err, FaultExcess)
	return err
}

// identify checks that the chunk belongs to the answer of the current attempt.
func (a *Answer) identify(c chunk) error {
	if a.config.Engine.NamesRequest && !strings.HasSuffix(c.ID, "-"+a.AttemptID()) {
		return FaultOtherAnswer
	}
	if a.attemptAnswerID == "" {
		a.attemptAnswerID = c.ID
	}
	if c.ID != a.attemptAnswerID {
		// With only two chunks, either of them may belong to the other answer, and
		// the caller may already have the wrong one.
		a.broken = a.broken || a.attemptChunks == 1 && a.contentChunks() > 0
		return FaultOtherAnswer
	}
	a.attemptChunks++
	if a.config.Model != "" && c.Model != a.config.Model {
		return FaultModel
	}
	if a.id == "" {
		a.id, a.model, a.created = c.ID, c.Model, c.Created
	}
	if c.Model != a.model {
		return FaultModel
	}
	return nil
}

func (a *Answer) feedDone(e Event) ([]byte, error) {
	for i := range a.choices {
		if !a.choices[i].finished {
			return nil, a.recordFault(FaultNoFinish)
		}
	}
	a.ended, a.complete = true, true
	if a.config.Assemble {
		return nil, nil
	}
	return e.Raw, nil
}

// feedChoices processes a chunk that has choices.
func (a *Answer) feedChoices(e Event, c chunk) ([]byte, error) {
	changes := edit{}
	for i, p := range c.Choices {
		keep, text, err := a.acceptChoice(p, c.Usage)
		if err != nil {
			return nil, a.recordFault(err)
		}
		if !keep {
			changes.dropChoice(i)
			continue
		}
		if text != p.text() {
			changes.setText(i, text)
		}
	}
	a.recordPromptTokens(c.Usage)
	if changes.dropped() == len(c.Choices) {
		return nil, nil
	}
	a.sentChunk = true
	if a.config.Assemble {
		if err := a.collect(e, changes); err != nil {
			return nil, a.recordFault(err)
		}
		return nil, nil
	}
	return a.outputChunk(e, c, changes)
}

// acceptChoice processes one choice of a chunk. It reports whether the choice is sent
// to the caller, and with what text.
func (a *Answer) acceptChoice(p chunkChoice, u *rawUsage) (keep bool, text string, err error) {
	if p.Index < 0 || p.Index >= len(a.choices) {
		return false, "", FaultIndex
	}
	ch := &a.choices[p.Index]
	count := a.completionTokens(u)
	v, err := ch.check(p, count, a.config.Engine.TokenPerChunk)
	if err != nil {
		return false, "", err
	}
	if v == verdictDrop {
		a.stats.Repeats++
		return false, "", nil
	}
	text, err = ch.trimEcho(p.text())
	if err != nil {
		return false, "", err
	}
	before := ch.tokens
	ch.add(p, text, count)
	a.stats.Tokens += ch.tokens - before
	// A later attempt repeats the chunk with the role, which the caller already has.
	empty := text == "" && !p.finished() && !p.Delta.NonText
	again := a.sentChunk && a.stats.Attempts > 1
	return !(again && empty), text, nil
}

// completionTokens returns the token count of a chunk, or 0 if the engine does not
// count tokens.
func (a *Answer) completionTokens(u *rawUsage) int {
	if u == nil || !a.config.Engine.CountsTokens {
		return 0
	}
	return u.CompletionTokens
}

func (a *Answer) recordPromptTokens(u *rawUsage) {
	if u != nil && !a.resumed {
		a.promptTokens = u.PromptTokens
	}
}

// feedUsage processes a chunk that holds only the token count of the answer.
func (a *Answer) feedUsage(e Event, c chunk) ([]byte, error) {
	a.recordPromptTokens(c.Usage)
	if c.Usage != nil && a.contentChunks() > c.Usage.CompletionTokens {
		return nil, a.recordFault(FaultExcess)
	}
	if a.config.Assemble {
		if err := a.collectUsage(c.Usage); err != nil {
			return nil, a.recordFault(err)
		}
		return nil, nil
	}
	if !a.request.wantsUsage {
		return nil, nil
	}
	return a.outputChunk(e, c, edit{})
}

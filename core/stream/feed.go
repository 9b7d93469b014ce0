package stream

import (
	"strings"

	"github.com/juju/errors"
)

// Feed takes the next event of the present attempt and returns what the caller is
// to be given, which may be nothing. The slice is valid until the next call.
//
// Errors: a Fault, after which the attempt is to be given up and End called.
func (a *Answer) Feed(e Event) ([]byte, error) {
	switch {
	case a.ended:
		return nil, FaultEnded
	case len(e.Data) == 0:
		return a.comment(e), nil
	case string(e.Data) == doneData:
		return a.feedDone(e)
	}
	c, err := parse(e.Data)
	if err != nil {
		return nil, a.fault(err)
	}
	if err := a.identify(c); err != nil {
		return nil, a.fault(err)
	}
	if len(c.Choices) == 0 {
		return a.feedUsage(e, c)
	}
	return a.feedChoices(e, c)
}

// comment passes on an event without data, such as a sign of life.
func (a *Answer) comment(e Event) []byte {
	if a.c.Assemble {
		return nil
	}
	return e.Raw
}

func (a *Answer) fault(err error) error {
	a.ended = true
	a.broken = a.broken || errors.Is(err, FaultOrder) || errors.Is(err, FaultExcess)
	return err
}

// identify checks that the chunk belongs to this attempt's answer.
func (a *Answer) identify(c chunk) error {
	if a.c.Engine.NamesRequest && !strings.HasSuffix(c.ID, "-"+a.AttemptID()) {
		return FaultOtherAnswer
	}
	if a.answerID == "" {
		a.answerID = c.ID
	}
	if c.ID != a.answerID {
		// With two chunks it cannot be told which of them is the stranger.
		a.broken = a.broken || a.parts == 1 && a.chunks() > 0
		return FaultOtherAnswer
	}
	a.parts++
	if a.c.Model != "" && c.Model != a.c.Model {
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
			return nil, a.fault(FaultNoFinish)
		}
	}
	a.ended, a.complete = true, true
	if a.c.Assemble {
		return nil, nil
	}
	return e.Raw, nil
}

// feedChoices takes a chunk with parts of choices in.
func (a *Answer) feedChoices(e Event, c chunk) ([]byte, error) {
	edit := edit{}
	for i, p := range c.Choices {
		keep, text, err := a.take(p, c.Usage)
		if err != nil {
			return nil, a.fault(err)
		}
		if !keep {
			edit.dropPart(i)
			continue
		}
		if text != p.text() {
			edit.setText(i, text)
		}
	}
	a.notePrompt(c.Usage)
	if edit.dropped() == len(c.Choices) {
		return nil, nil
	}
	a.passed = true
	if a.c.Assemble {
		if err := a.collect(e, edit); err != nil {
			return nil, a.fault(err)
		}
		return nil, nil
	}
	return a.output(e, c, edit)
}

// take takes in one part of a choice; it reports whether the part is to be given
// to the caller, and with what text.
func (a *Answer) take(p part, u *rawUsage) (keep bool, text string, err error) {
	if p.Index < 0 || p.Index >= len(a.choices) {
		return false, "", FaultIndex
	}
	ch := &a.choices[p.Index]
	count := a.countOf(u)
	v, err := ch.check(p, count, a.c.Engine.TokenPerChunk)
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
	// A later attempt begins with the role again, which the caller has.
	empty := text == "" && !p.finished() && !p.Delta.Other
	again := a.passed && a.stats.Attempts > 1
	return !(again && empty), text, nil
}

func (a *Answer) countOf(u *rawUsage) int {
	if u == nil || !a.c.Engine.CountsTokens {
		return 0
	}
	return u.CompletionTokens
}

func (a *Answer) notePrompt(u *rawUsage) {
	if u != nil && !a.resumed {
		a.prompt = u.PromptTokens
	}
}

// feedUsage takes the chunk that holds nothing but the token count of the answer.
func (a *Answer) feedUsage(e Event, c chunk) ([]byte, error) {
	a.notePrompt(c.Usage)
	if c.Usage != nil && a.chunks() > c.Usage.CompletionTokens {
		return nil, a.fault(FaultExcess)
	}
	if a.c.Assemble {
		if err := a.collectUsage(c.Usage); err != nil {
			return nil, a.fault(err)
		}
		return nil, nil
	}
	if !a.request.wantsUsage {
		return nil, nil
	}
	return a.output(e, c, edit{})
}

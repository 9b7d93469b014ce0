package stream

import "strings"

// span is a range of token counts, both ends excluded, that one chunk jumped over.
type span struct{ from, to int }

// choice is the state of one choice of an answer, over all attempts.
type choice struct {
	text     strings.Builder
	tokens   int // over all attempts
	finished bool
	other    bool // more than text was seen

	// Of the present attempt:
	count  int // token count of the newest chunk, where the engine counts
	chunks int // chunks with text
	jumps  []span
	echo   string // what is still expected of the partial text
}

// begin prepares for the next attempt.
func (c *choice) begin(echo bool) {
	c.count, c.chunks, c.jumps, c.echo = 0, 0, nil, ""
	if echo {
		c.echo = c.text.String()
	}
}

// restart forgets what came so far.
func (c *choice) restart() { *c = choice{} }

// verdict is what is to be done with a part.
type verdict string

const (
	verdictPass verdict = "pass"
	verdictDrop verdict = "drop"
)

// check decides on a part by its token count: 0 where the engine does not count.
//
// Errors: FaultOrder, FaultGap, FaultAfterFinish.
func (c *choice) check(p part, count int, tokenPerChunk bool) (verdict, error) {
	hasContent := p.text() != "" || p.Delta.Other
	switch {
	case hasContent && count > 0 && count <= c.count:
		return verdictDrop, c.checkRepeat(count)
	case hasContent && tokenPerChunk && count > c.count+1:
		return verdictDrop, FaultGap
	case hasContent && c.finished:
		return verdictDrop, FaultAfterFinish
	case tokenPerChunk && p.finished() && count > c.count:
		return verdictDrop, FaultGap
	case c.finished:
		return verdictDrop, nil
	}
	return verdictPass, nil
}

// checkRepeat tells a repeated chunk from one that comes late.
func (c *choice) checkRepeat(count int) error {
	for _, j := range c.jumps {
		if count > j.from && count < j.to {
			return FaultOrder
		}
	}
	return nil
}

// trimEcho removes from a text what repeats the partial answer.
//
// Errors: FaultEcho.
func (c *choice) trimEcho(text string) (string, error) {
	if c.echo == "" {
		return text, nil
	}
	if len(text) <= len(c.echo) {
		if !strings.HasPrefix(c.echo, text) {
			return "", FaultEcho
		}
		c.echo = c.echo[len(text):]
		return "", nil
	}
	rest, ok := strings.CutPrefix(text, c.echo)
	if !ok {
		return "", FaultEcho
	}
	c.echo = ""
	return rest, nil
}

// add takes a part in whose text is new.
func (c *choice) add(p part, text string, count int) {
	if text != "" || p.Delta.Other {
		c.text.WriteString(text)
		c.chunks++
		c.addTokens(count)
	}
	c.other = c.other || p.Delta.Other
	c.finished = c.finished || p.finished()
}

func (c *choice) addTokens(count int) {
	if count == 0 {
		c.tokens++
		return
	}
	if count > c.count+1 {
		c.jumps = append(c.jumps, span{from: c.count, to: count})
	}
	c.tokens += count - c.count
	c.count = count
}

package stream

import "strings"

// countGap is a range of token counts, both ends excluded, that one chunk jumped over.
type countGap struct{ from, to int }

// choice is the state of one choice of an answer, over all attempts.
type choice struct {
	text     strings.Builder
	tokens   int // over all attempts
	finished bool
	nonText  bool // more than text was seen

	// Of the present attempt:
	lastCount     int // token count of the newest chunk, where the engine counts
	contentChunks int // chunks with text
	countGaps     []countGap
	echo          string // what is still expected of the partial text
}

// begin prepares for the next attempt.
func (c *choice) begin(echo bool) {
	c.lastCount, c.contentChunks, c.countGaps, c.echo = 0, 0, nil, ""
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
func (c *choice) check(p chunkChoice, count int, tokenPerChunk bool) (verdict, error) {
	hasContent := p.text() != "" || p.Delta.NonText
	switch {
	case hasContent && count > 0 && count <= c.lastCount:
		return verdictDrop, c.checkRepeat(count)
	case hasContent && tokenPerChunk && count > c.lastCount+1:
		return verdictDrop, FaultGap
	case hasContent && c.finished:
		return verdictDrop, FaultAfterFinish
	case tokenPerChunk && p.finished() && count > c.lastCount:
		return verdictDrop, FaultGap
	case c.finished:
		return verdictDrop, nil
	}
	return verdictPass, nil
}

// checkRepeat tells a repeated chunk from one that comes late.
func (c *choice) checkRepeat(count int) error {
	for _, j := range c.countGaps {
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
func (c *choice) add(p chunkChoice, text string, count int) {
	if text != "" || p.Delta.NonText {
		c.text.WriteString(text)
		c.contentChunks++
		c.addTokens(count)
	}
	c.nonText = c.nonText || p.Delta.NonText
	c.finished = c.finished || p.finished()
}

func (c *choice) addTokens(count int) {
	if count == 0 {
		c.tokens++
		return
	}
	if count > c.lastCount+1 {
		c.countGaps = append(c.countGaps, countGap{from: c.lastCount, to: count})
	}
	c.tokens += count - c.lastCount
	c.lastCount = count
}

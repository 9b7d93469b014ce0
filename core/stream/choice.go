package stream

import "strings"

// countGap is a range of token counts, excluding both ends, that was skipped between
// two consecutive chunks.
type countGap struct{ from, to int }

// choice is the state of one choice of an answer across all attempts.
type choice struct {
	text     strings.Builder
	tokens   int // over all attempts
	finished bool
	nonText  bool // the choice has content other than text

	// For the current attempt:
	lastCount     int // highest token count so far, if the engine counts tokens
	contentChunks int // chunks with text or other content
	countGaps     []countGap
	echo          string // rest of the partial text that the engine is expected to repeat
}

// begin resets the state of the attempt. With echo, the engine is expected to
// repeat the text so far.
func (c *choice) begin(echo bool) {
	c.lastCount, c.contentChunks, c.countGaps, c.echo = 0, 0, nil, ""
	if echo {
		c.echo = c.text.String()
	}
}

// restart discards the state of all attempts.
func (c *choice) restart() { *c = choice{} }

// verdict says whether a choice of a chunk is passed on or dropped.
type verdict string

const (
	verdictPass verdict = "pass"
	verdictDrop verdict = "drop"
)

// check decides whether to keep a choice of a chunk by its token count, which is 0
// if the engine does not count tokens.
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

// checkRepeat distinguishes a repeated chunk from one that arrives late: the count of
// a late chunk lies in a gap.
func (c *choice) checkRepeat(count int) error {
	for _, gap := range c.countGaps {
		if count > gap.from && count < gap.to {
			return FaultOrder
		}
	}
	return nil
}

// trimEcho removes the part of a text that repeats the partial answer.
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

// add records a choice of a chunk, with the text that remains after trimEcho.
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

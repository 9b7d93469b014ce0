package fakes

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// An answer has minTokens to minTokens+tokenRange-1 tokens unless its prompt sets the
// length.
const (
	minTokens  = 8
	tokenRange = 24
)

var (
	lengthMarker = regexp.MustCompile(`\[\[length=(\d+)\]\]`)
	firstToken   = regexp.MustCompile(` [0-9a-f]{4}\.0`)
)

// AnswerToken returns token i of one choice of the answer to a prompt.
func AnswerToken(prompt string, choice, i int) string {
	sum := xxhash.Sum64String(fmt.Sprint(prompt, "\x00", choice, "\x00", i))
	return fmt.Sprintf(" %04x.%d", uint16(sum), i)
}

// AnswerLength returns the number of tokens of the answer to a prompt. A prompt that
// contains [[length=N]] sets it to N.
func AnswerLength(prompt string) int {
	if m := lengthMarker.FindStringSubmatch(prompt); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil {
			return n
		}
	}
	return minTokens + int(xxhash.Sum64String(prompt)%tokenRange)
}

// AnswerText returns the text of the first n tokens of one choice of the answer to a
// prompt; n < 0 means all tokens.
func AnswerText(prompt string, choice, n int) string {
	if n < 0 {
		n = AnswerLength(prompt)
	}
	var b strings.Builder
	for i := range n {
		b.WriteString(AnswerToken(prompt, choice, i))
	}
	return b.String()
}

// splitPartial splits a prompt that ends with the start of its own answer into the
// original prompt and that partial answer.
func splitPartial(prompt string) (head, partial string) {
	for _, at := range firstToken.FindAllStringIndex(prompt, -1) {
		head, partial = prompt[:at[0]], prompt[at[0]:]
		if strings.HasPrefix(AnswerText(head, 0, -1), partial) {
			return head, partial
		}
	}
	return prompt, ""
}

// tokensAfter returns the tokens of an answer that follow the partial text, and how many
// tokens the partial text has in full. If it ends inside a token, the first token
// returned is the rest of that token.
func tokensAfter(prompt string, choice int, partial string) (tokens []string, done int) {
	rest := len(partial)
	for i := range AnswerLength(prompt) {
		t := AnswerToken(prompt, choice, i)
		if rest >= len(t) {
			rest -= len(t)
			done++
			continue
		}
		tokens = append(tokens, t[rest:])
		rest = 0
	}
	return tokens, done
}

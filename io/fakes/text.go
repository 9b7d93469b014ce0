package fakes

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	minTokens    = 8
	spreadTokens = 24
)

var (
	lengthMarker = regexp.MustCompile(`\[\[length=(\d+)\]\]`)
	firstToken   = regexp.MustCompile(` [0-9a-f]{4}\.0`)
)

// AnswerToken returns token i of the answer to a prompt, for one of its choices.
func AnswerToken(prompt string, choice, i int) string {
	sum := xxhash.Sum64String(fmt.Sprint(prompt, "\x00", choice, "\x00", i))
	return fmt.Sprintf(" %04x.%d", uint16(sum), i)
}

// AnswerLength returns how many tokens the answer to a prompt has; a prompt that
// contains [[length=N]] sets it to N.
func AnswerLength(prompt string) int {
	if m := lengthMarker.FindStringSubmatch(prompt); m != nil {
		if n, err := strconv.Atoi(m[1]); err == nil {
			return n
		}
	}
	return minTokens + int(xxhash.Sum64String(prompt)%spreadTokens)
}

// AnswerText returns the first n tokens of the answer to a prompt; n < 0 stands for
// the whole answer.
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

// splitPartial splits a prompt that ends with the beginning of its own answer
// into the prompt proper and that beginning.
func splitPartial(prompt string) (head, partial string) {
	for _, at := range firstToken.FindAllStringIndex(prompt, -1) {
		head, partial = prompt[:at[0]], prompt[at[0]:]
		if strings.HasPrefix(AnswerText(head, 0, -1), partial) {
			return head, partial
		}
	}
	return prompt, ""
}

// tokensAfter returns the tokens of an answer that follow the partial text; the
// first may be the rest of a token that was cut, done is how many came whole.
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

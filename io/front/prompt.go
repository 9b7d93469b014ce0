package front

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// The sizes of what is read from a prompt.
const (
	// blockBytes is the length of a block whose hash is a prefix hint.
	blockBytes = 512
	// maxBlocks bounds the hints of one prompt.
	maxBlocks = 16
	// bytesPerToken is the usual length of a token of running text.
	bytesPerToken = 4
)

// prompt is what the router reads of a completion request's body; everything
// else is passed on as it is.
type prompt struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

// parsePrompt reads a completion request's body.
//
// Errors: NotValid with what is wrong.
func parsePrompt(body []byte) (prompt, error) {
	var p prompt
	if err := json.Unmarshal(body, &p); err != nil {
		return prompt{}, errors.NewNotValid(err, "the body is no JSON object of a completion request")
	}
	switch {
	case p.Model == "":
		return prompt{}, errors.NotValidf("the field model is missing")
	case len(p.text()) == 0:
		return prompt{}, errors.NotValidf("the fields messages and prompt are both missing")
	case p.MaxTokens < 0 || p.MaxCompletionTokens < 0:
		return prompt{}, errors.NotValidf("a negative number of tokens")
	}
	return p, nil
}

func (p *prompt) text() []byte {
	if len(p.Messages) > 0 {
		return p.Messages
	}
	return p.Prompt
}

func (p *prompt) maxTokens() int { return max(p.MaxTokens, p.MaxCompletionTokens) }

func (p *prompt) tokens() int { return len(p.text())/bytesPerToken + 1 }

// prefixes returns the hashes of the prompt's leading blocks, shortest first.
func (p *prompt) prefixes() []uint64 {
	text := p.text()
	var hashes []uint64
	d := xxhash.New()
	for n := blockBytes; n <= len(text) && len(hashes) < maxBlocks; n += blockBytes {
		// A Digest's Write never fails.
		_, _ = d.Write(text[n-blockBytes : n])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

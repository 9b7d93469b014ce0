package front

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// Sizes used to derive hints from a prompt.
const (
	// blockBytes is the block size of the prefix hashes: there is a hash of the prompt
	// up to the end of each block.
	blockBytes = 512
	// maxBlocks limits the number of hashes of one prompt.
	maxBlocks = 16
	// bytesPerToken is the typical length of a token of prose.
	bytesPerToken = 4
)

// prompt holds the fields of a completion request's body that the router reads. The
// other fields are not interpreted, and the job gets the unchanged body.
type prompt struct {
	Model               string          `json:"model"`
	Stream              bool            `json:"stream"`
	Messages            json.RawMessage `json:"messages"`
	Prompt              json.RawMessage `json:"prompt"`
	MaxTokens           int             `json:"max_tokens"`
	MaxCompletionTokens int             `json:"max_completion_tokens"`
}

// parsePrompt parses the body of a completion request.
//
// Errors: NotValid, with the reason.
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

// text returns the messages or, if there are none, the prompt, as JSON.
func (p *prompt) text() []byte {
	if len(p.Messages) > 0 {
		return p.Messages
	}
	return p.Prompt
}

func (p *prompt) maxTokens() int { return max(p.MaxTokens, p.MaxCompletionTokens) }

// tokens estimates the number of tokens of the prompt.
func (p *prompt) tokens() int { return len(p.text())/bytesPerToken + 1 }

// prefixes returns the hashes of the prompt's prefixes that are whole numbers of
// blocks long, shortest first.
func (p *prompt) prefixes() []uint64 {
	text := p.text()
	var hashes []uint64
	d := xxhash.New()
	for n := blockBytes; n <= len(text) && len(hashes) < maxBlocks; n += blockBytes {
		// Digest.Write never returns an error.
		_, _ = d.Write(text[n-blockBytes : n])
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

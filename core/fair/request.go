package fair

import "gentianwell/core/call"

// Request is what a decision needs to know of a request.
type Request struct {
	Team  call.Team
	Model call.Model
	// Fingerprint is the same for a request that the caller sends again.
	Fingerprint uint64
	// PromptTokens and MaxTokens are the length of the prompt and the limit for the output; zero if
	// the request is not a generation.
	PromptTokens, MaxTokens int
	// Random returns a random number in [0, 1). It is called only if the request is refused, so that
	// the random numbers of other decisions stay the same. It is required by Ask.
	Random func() float64
}

// work returns the work of a request in prompt tokens. It is at least 1, which is that of a request
// to a service without tokens.
func (c *Config) work(r Request) float64 {
	return max(1, min(float64(r.PromptTokens)+c.OutputWeight*float64(r.MaxTokens), maxWork))
}

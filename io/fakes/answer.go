package fakes

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"
)

// answer is an answer to be generated.
type answer struct {
	req     *engineRequest
	prompt  string
	chat    bool
	id      string
	created int64
	tokens  [][]string // by choice
	finish  []string   // finish reason, by choice
}

func newAnswer(e *Engine, req *engineRequest, r *http.Request) *answer {
	prompt, partial := req.promptAndPartial()
	a := &answer{req: req, prompt: prompt, created: time.Now().Unix()}
	a.chat = strings.HasSuffix(r.URL.Path, "/chat/completions")
	a.id = e.newID(a.chat, r.Header.Get("X-Request-Id"))
	for choice := range max(req.N, 1) {
		tokens, _ := tokensAfter(prompt, choice, partial)
		finish := "stop"
		if limit := req.tokenLimit(); limit > 0 && len(tokens) > limit {
			tokens = tokens[:limit]
			finish = "length"
		}
		a.tokens = append(a.tokens, tokens)
		a.finish = append(a.finish, finish)
	}
	return a
}

// steps returns the number of tokens of the longest choice.
func (a *answer) steps() int {
	n := 0
	for _, t := range a.tokens {
		n = max(n, len(t))
	}
	return n
}

func (a *answer) usage() *wireUsage {
	u := &wireUsage{PromptTokens: len(strings.Fields(a.prompt))}
	for _, t := range a.tokens {
		u.CompletionTokens += len(t)
	}
	u.TotalTokens = u.PromptTokens + u.CompletionTokens
	return u
}

// response returns a response without choices.
func (a *answer) response(object string) wireAnswer {
	return wireAnswer{ID: a.id, Object: object, Created: a.created, Model: a.req.Model, Choices: []wireChoice{}}
}

func (a *answer) chunk(choice int, text string, finish *string, first bool) wireAnswer {
	c := wireChoice{Index: choice, FinishReason: finish}
	object := "text_completion"
	if a.chat {
		object = "chat.completion.chunk"
		c.Delta = &wireMessage{Content: text}
		if first {
			c.Delta.Role = "assistant"
		}
	} else {
		c.Text = &text
	}
	out := a.response(object)
	out.Choices = append(out.Choices, c)
	return out
}

// withUsage adds the usage so far to a chunk if the request asks for it.
func (a *answer) withUsage(chunk wireAnswer, tokens int) wireAnswer {
	if !a.req.StreamOptions.ContinuousUsageStats {
		return chunk
	}
	prompt := len(strings.Fields(a.prompt))
	chunk.Usage = &wireUsage{PromptTokens: prompt, CompletionTokens: tokens, TotalTokens: prompt + tokens}
	return chunk
}

// completion returns the response of a request without streaming, with the first tokens
// of each choice.
func (a *answer) completion(steps int) wireAnswer {
	object := "text_completion"
	if a.chat {
		object = "chat.completion"
	}
	out := a.response(object)
	for i := range a.tokens {
		text := strings.Join(a.tokens[i][:min(steps, len(a.tokens[i]))], "")
		c := wireChoice{Index: i, FinishReason: &a.finish[i]}
		if a.chat {
			c.Message = &wireMessage{Role: "assistant", Content: text}
		} else {
			c.Text = &text
		}
		out.Choices = append(out.Choices, c)
	}
	out.Usage = a.usage()
	return out
}

// generate waits the configured times, writes the answer, and applies the fault, if any.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request, a *answer, fault Fault) {
	if fault.Kind == FaultHang {
		e.faults.stall(r)
	}
	e.pause(r, time.Duration(e.cache.use(a.prompt))*e.c.PrefillTime)
	out := &eventWriter{w: w, stream: a.req.Stream}
	out.start()
	for step := range a.steps() {
		if step == fault.AfterTokens {
			e.applyFault(r, out, a, fault)
		}
		if fault.Kind == FaultTruncate && step >= fault.AfterTokens {
			return
		}
		e.pause(r, e.c.TokenGap)
		e.tokens.Add(int64(a.writeStep(out, step)))
	}
	if fault.Kind != "" && fault.AfterTokens >= a.steps() {
		e.applyFault(r, out, a, fault)
	}
	if !a.req.Stream {
		writeJSON(w, a.completion(a.steps()))
		return
	}
	if a.req.StreamOptions.IncludeUsage {
		last := a.chunk(0, "", nil, false)
		last.Choices = []wireChoice{}
		last.Usage = a.usage()
		out.event(last)
	}
	out.done()
}

// writeStep writes one token of each choice and returns how many there were.
func (a *answer) writeStep(out *eventWriter, step int) int {
	n := 0
	for choice, tokens := range a.tokens {
		if step >= len(tokens) {
			continue
		}
		n++
		out.event(a.withUsage(a.chunk(choice, tokens[step], nil, step == 0), step+1))
		if step == len(tokens)-1 {
			out.event(a.withUsage(a.chunk(choice, "", &a.finish[choice], false), step+1))
		}
	}
	return n
}

// applyFault applies a fault in the middle of an answer.
func (e *Engine) applyFault(r *http.Request, out *eventWriter, a *answer, fault Fault) {
	switch fault.Kind {
	case FaultCrash:
		e.faults.crash()
		panic(http.ErrAbortHandler)
	case FaultCut:
		panic(http.ErrAbortHandler)
	case FaultFreeze:
		e.faults.stall(r)
	case FaultDuplicate:
		out.repeat()
	case FaultCrossed:
		other := a.chunk(0, " other", nil, false)
		other.ID = "chatcmpl-other"
		out.event(other)
	}
}

// eventWriter writes server-sent events. If the answer is not streamed, start and event
// write nothing.
type eventWriter struct {
	w      http.ResponseWriter
	stream bool
	last   []byte
}

func (o *eventWriter) start() {
	if !o.stream {
		return
	}
	o.w.Header().Set("Content-Type", "text/event-stream")
	o.w.Header().Set("Cache-Control", "no-cache")
	o.w.WriteHeader(http.StatusOK)
	o.flush()
}

func (o *eventWriter) event(chunk wireAnswer) {
	if !o.stream {
		return
	}
	data, err := json.Marshal(chunk)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	o.last = data
	o.write(data)
}

// repeat writes the last event again.
func (o *eventWriter) repeat() {
	if o.last != nil {
		o.write(o.last)
	}
}

func (o *eventWriter) done() { o.write([]byte("[DONE]")) }

func (o *eventWriter) write(data []byte) {
	if _, err := o.w.Write([]byte("data: " + string(data) + "\n\n")); err != nil {
		panic(http.ErrAbortHandler)
	}
	o.flush()
}

func (o *eventWriter) flush() {
	if err := http.NewResponseController(o.w).Flush(); err != nil {
		panic(http.ErrAbortHandler)
	}
}

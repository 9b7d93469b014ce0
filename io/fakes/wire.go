package fakes

import (
	"encoding/json"
	"net/http"
	"strings"
)

// engineRequest holds the fields that the engine reads of a chat or completion request.
type engineRequest struct {
	Model               string        `json:"model"`
	Messages            []chatMessage `json:"messages"`
	Prompt              string        `json:"prompt"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
	MaxTokens           int           `json:"max_tokens"`
	MaxCompletionTokens int           `json:"max_completion_tokens"`
	N                   int           `json:"n"`
	Priority            int           `json:"priority"`
	ContinueFinal       bool          `json:"continue_final_message"`
}

type streamOptions struct {
	IncludeUsage         bool `json:"include_usage"`
	ContinuousUsageStats bool `json:"continuous_usage_stats"`
}

type chatMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// text returns the message's content if it is a string, otherwise its JSON.
func (m chatMessage) text() string {
	var s string
	if err := json.Unmarshal(m.Content, &s); err != nil {
		return string(m.Content)
	}
	return s
}

// tokenLimit returns how many tokens the answer may have; 0 means no limit.
func (r *engineRequest) tokenLimit() int {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// promptAndPartial returns the prompt and the partial answer that the request asks to
// continue.
func (r *engineRequest) promptAndPartial() (prompt, partial string) {
	if len(r.Messages) == 0 {
		return splitPartial(r.Prompt)
	}
	messages := r.Messages
	last := messages[len(messages)-1]
	if r.ContinueFinal && last.Role == "assistant" {
		partial = last.text()
		messages = messages[:len(messages)-1]
	}
	return ChatPrompt(messageTexts(messages)...), partial
}

func messageTexts(messages []chatMessage) []string {
	var out []string
	for _, m := range messages {
		out = append(out, m.text())
	}
	return out
}

// ChatPrompt returns the prompt that the engine builds from the texts of the messages.
func ChatPrompt(texts ...string) string { return strings.Join(texts, "\n") }

type wireAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   string       `json:"model"`
	Choices []wireChoice `json:"choices"`
	Usage   *wireUsage   `json:"usage,omitempty"`
}

type wireChoice struct {
	Index        int          `json:"index"`
	Delta        *wireMessage `json:"delta,omitempty"`
	Message      *wireMessage `json:"message,omitempty"`
	Text         *string      `json:"text,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

type wireMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type wireUsage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type wireError struct {
	Error wireErrorBody `json:"error"`
}

type wireErrorBody struct {
	Message string  `json:"message"`
	Type    string  `json:"type"`
	Param   *string `json:"param"`
	Code    *string `json:"code"`
}

type wireModels struct {
	Object string      `json:"object"`
	Data   []wireModel `json:"data"`
}

type wireModel struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func writeError(w http.ResponseWriter, status int, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body := wireErrorBody{Message: message, Type: "invalid_request_error"}
	if status >= http.StatusInternalServerError {
		body.Type = "server_error"
	}
	writeJSON(w, wireError{Error: body})
}

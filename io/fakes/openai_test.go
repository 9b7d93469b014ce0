package fakes

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	openai "github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
)

func newOpenAI(url string) openai.Client {
	return openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey("k"), option.WithMaxRetries(0))
}

func chatParams(prompt string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "drafts",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

// The official OpenAI client can use the fake engine.
func TestOpenAIClient(t *testing.T) {
	_, srv := startEngine(t, EngineConfig{TokenGap: time.Millisecond})
	client := newOpenAI(srv.URL)

	t.Run("chat", func(t *testing.T) {
		got, err := client.Chat.Completions.New(t.Context(), chatParams("hello"))
		assert.NilError(t, err)
		assert.Equal(t, got.Choices[0].Message.Content, AnswerText("hello", 0, -1))
		assert.Equal(t, got.Choices[0].FinishReason, "stop")
		assert.Equal(t, got.Usage.CompletionTokens, int64(AnswerLength("hello")))
	})
	t.Run("streamed chat of two choices", func(t *testing.T) {
		params := chatParams("hello")
		params.N = openai.Int(2)
		params.StreamOptions.IncludeUsage = openai.Bool(true)
		stream := client.Chat.Completions.NewStreaming(t.Context(), params)
		var acc openai.ChatCompletionAccumulator
		for stream.Next() {
			assert.Assert(t, acc.AddChunk(stream.Current()))
		}
		assert.NilError(t, stream.Err())
		for i := range acc.Choices {
			assert.Equal(t, acc.Choices[i].Message.Content, AnswerText("hello", i, -1))
		}
		assert.Equal(t, acc.Usage.CompletionTokens, int64(2*AnswerLength("hello")))
	})
	t.Run("streamed completion", func(t *testing.T) {
		params := openai.CompletionNewParams{Model: "drafts", MaxTokens: openai.Int(5)}
		params.Prompt.OfString = openai.String("hello")
		stream := client.Completions.NewStreaming(t.Context(), params)
		text, finish := "", ""
		for stream.Next() {
			choice := stream.Current().Choices[0]
			text += choice.Text
			finish = string(choice.FinishReason)
		}
		assert.NilError(t, stream.Err())
		assert.Equal(t, text, AnswerText("hello", 0, 5))
		assert.Equal(t, finish, "length")
	})
	t.Run("models", func(t *testing.T) {
		page, err := client.Models.List(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, page.Data[0].ID, "drafts")
	})
	t.Run("error", func(t *testing.T) {
		params := chatParams("hello")
		params.Model = "none"
		_, err := client.Chat.Completions.New(t.Context(), params)
		var got *openai.Error
		assert.Assert(t, errors.As(err, &got), "%v", err)
		assert.Equal(t, got.StatusCode, 404)
		assert.Equal(t, got.Type, "invalid_request_error")
		assert.Equal(t, got.Message, `model "none" is not loaded`)
	})
}

// The engine stops generating soon after the client cancels.
func TestOpenAIClientCancels(t *testing.T) {
	e, srv := startEngine(t, EngineConfig{TokenGap: time.Millisecond, Slots: 1})
	client := newOpenAI(srv.URL)
	ctx, cancel := context.WithCancel(t.Context())
	stream := client.Chat.Completions.NewStreaming(ctx, chatParams("[[length=5000]]"))
	assert.Assert(t, stream.Next())
	cancel()
	assert.NilError(t, stream.Close())
	// This request needs the only slot, so the canceled one must have released it.
	_, err := client.Chat.Completions.New(t.Context(), chatParams("hello"))
	assert.NilError(t, err)
	assert.Assert(t, e.Tokens() < 1000)
}

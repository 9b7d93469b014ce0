package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gentianwell/io/front"
)

const demoHelp = `Sends requests to running entry VMs and checks the answers: a streamed completion
of each class on each VM, and one payment that is sent twice with the same
idempotency key, to the first and the last VM. Prints one line for each request
and fails if an answer is wrong.`

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "send a few requests through running entry VMs and check the answers",
		Description: demoHelp,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "vm", Usage: "`ADDRESS` of an entry VM for callers (may be repeated)", Required: true},
			&cli.StringFlag{Name: "key", Usage: "a team's bearer `KEY`", Required: true},
			&cli.StringFlag{Name: "model", Value: "drafts", Usage: "`MODEL` to request"},
			&cli.StringSliceFlag{Name: "class", Usage: "request `CLASS` to use (may be repeated)", Required: true},
			&cli.StringFlag{Name: "ledger", Usage: "path `PREFIX` of the ledger service", Value: "/ledger"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			d := demo{out: cmd.Root().Writer, key: cmd.String("key"), model: cmd.String("model"), ledger: cmd.String("ledger")}
			return d.run(ctx, cmd.StringSlice("vm"), cmd.StringSlice("class"))
		},
	}
}

// demoTimeout limits each request of the demo, with its answer.
const demoTimeout = 30 * time.Second

type demo struct {
	out                io.Writer
	key, model, ledger string
}

func (d *demo) run(ctx context.Context, vms, classes []string) error {
	for i, vm := range vms {
		for _, class := range classes {
			if err := d.stream(ctx, vm, class, i); err != nil {
				return errors.Annotatef(err, "VM %s, class %s", vm, class)
			}
		}
	}
	return errors.Annotate(d.pay(ctx, vms), "payment")
}

// chunk holds the fields of a completion chunk that the demo reads.
type chunk struct {
	Choices []struct {
		Delta        struct{ Content string }
		FinishReason *string `json:"finish_reason"`
	}
}

// stream requests a streamed completion and checks that the answer is complete.
func (d *demo) stream(ctx context.Context, vm, class string, i int) error {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Draft number %d for %s"}]}`, d.model, i, class)
	began := time.Now()
	resp, err := d.send(ctx, vm, "/v1/chat/completions", body, map[string]string{front.HeaderClass: class})
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(resp.Body)
		return errors.Errorf("status %s: %s", resp.Status, text)
	}
	var text strings.Builder
	var first time.Duration
	finishReason, done := "", false
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			done = true
			continue
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return errors.Annotatef(err, "chunk %q", data)
		}
		for _, choice := range c.Choices {
			if text.Len() == 0 && choice.Delta.Content != "" {
				first = time.Since(began)
			}
			text.WriteString(choice.Delta.Content)
			if choice.FinishReason != nil {
				finishReason = *choice.FinishReason
			}
		}
	}
	if finishReason == "" || !done {
		return errors.Errorf("answer is incomplete: finish_reason is %q, [DONE] received is %t", finishReason, done)
	}
	_, err = fmt.Fprintf(d.out, "stream vm=%s class=%s replica=%s outcome=%s finish=%s firstToken=%s bytes=%d\n", vm, class,
		resp.Header.Get(front.HeaderReplica), resp.Header.Get(front.HeaderOutcome), finishReason, first.Round(time.Millisecond), text.Len())
	return err
}

// pay sends one payment twice with the same idempotency key, to the first and the last
// VM, and checks that both answers are equal and that it is booked once.
func (d *demo) pay(ctx context.Context, vms []string) error {
	key := fmt.Sprintf("demo-%d", time.Now().UnixNano())
	var answers []string
	for _, vm := range []string{vms[0], vms[len(vms)-1]} {
		resp, err := d.send(ctx, vm, d.ledger+"/payments", `{"member":"m-7","amount":120}`, map[string]string{front.HeaderIdempotencyKey: key})
		if err != nil {
			return err
		}
		text, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		if err != nil {
			return errors.Trace(err)
		}
		if resp.StatusCode >= http.StatusMultipleChoices {
			return errors.Errorf("VM %s: status %s: %s", vm, resp.Status, text)
		}
		answers = append(answers, string(bytes.TrimSpace(text)))
		_, _ = fmt.Fprintf(d.out, "payment vm=%s status=%d outcome=%s answer=%s\n", vm, resp.StatusCode,
			resp.Header.Get(front.HeaderOutcome), answers[len(answers)-1])
	}
	if answers[0] != answers[1] {
		return errors.Errorf("the repeated payment was answered differently: first %q, then %q", answers[0], answers[1])
	}
	return d.checkBookings(ctx, vms[0], key)
}

// checkBookings checks that the ledger has exactly one payment with the key.
func (d *demo) checkBookings(ctx context.Context, vm, key string) error {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm+d.ledger+"/payments", nil)
	if err != nil {
		return errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+d.key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if got := strings.Count(string(text), key); got != 1 {
		return errors.Errorf("payment with key %s is booked %d times, must be once: %s", key, got, text)
	}
	_, err = fmt.Fprintf(d.out, "ledger key=%s bookings=1\n", key)
	return err
}

func (d *demo) send(ctx context.Context, vm, path, body string, header map[string]string) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm+path, strings.NewReader(body))
	if err != nil {
		cancel()
		return nil, errors.Trace(err)
	}
	req.Header.Set("Authorization", "Bearer "+d.key)
	req.Header.Set("Content-Type", "application/json")
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		cancel()
		return nil, errors.Trace(err)
	}
	resp.Body = &cancelBody{ReadCloser: resp.Body, cancel: cancel}
	return resp, nil
}

// cancelBody cancels the request's context when the body is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body, then cancels the context.
func (b *cancelBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

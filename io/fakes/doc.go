// Package fakes provides small fake backend servers for tests, the demo and
// experiments: Engine, a model engine with the OpenAI-compatible HTTP API, and Ledger,
// a payment service.
//
// Both inject faults on request: POST /fault with a Fault as JSON, or Inject. The
// text of an answer depends only on the prompt and the number of the choice, so that a
// test can tell which prompt an answer belongs to and whether it is complete (see
// AnswerText). Both count how often each body and each idempotency key was run
// (GET /runs).
//
// # Usage
//
//	e := fakes.NewEngine(fakes.EngineConfig{ID: "engine-1", Models: []string{"drafts"}})
//	srv := httptest.NewServer(e.Handler())
//	e.Inject(fakes.Fault{Kind: fakes.FaultCut, AfterTokens: 3, Times: 1})
//
//	l := fakes.NewLedger(fakes.LedgerConfig{ID: "ledger-1"})
//	srv := httptest.NewServer(l.Handler())
package fakes

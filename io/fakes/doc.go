// Package fakes holds small stand-ins for backend servers: a model engine that
// speaks the OpenAI-compatible HTTP API and a plain service that books payments.
// They serve tests, the demo and experiments.
//
// Both take faults on request: POST /fault with a Fault as JSON, or Inject. The
// text of an answer follows from the prompt alone, so that a test can tell whose
// answer it has and whether it is whole (see Text). Both count how often each
// body and each idempotency key was run (GET /runs).
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

// Package estim learns how long answers are and how fast they are produced, and
// estimates from it what a call costs and how long it runs.
//
// Answer lengths are learnt for each class and model, as nobody knows them
// beforehand; a class with few samples is judged by its model, a model with few
// samples by the config. Old samples count no more after two windows. The pace
// of engines is learnt for each model, and so is the rate at which a model's
// queue on this VM is served.
//
// # Usage
//
//	e, err := estim.New(estim.Defaults())
//	...
//	guess := e.Guess(now, call)
//	verdict := queue.Offer(now, sched.Item{Call: call, Cost: guess.Cost, Service: guess.Service})
//	...
//	e.Dispatched(now, call.Model, guess.Cost, queue.Backlogged(call.Model))
//	e.Finished(now, estim.Sample{...})
//
// Rate fits sched.Config.Rate. An Estimator is not safe for concurrent use; its
// time comes from the caller.
package estim

import (
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Estimate is what is estimated about a call.
type Estimate struct {
	// Cost is the expected number of tokens, prompt and answer.
	Cost int
	// AnswerTokens is the quantile of the answer's length that Service is for.
	AnswerTokens int
	// FirstToken is the time from dispatch to the first token, Service the time
	// to the last.
	FirstToken, Service time.Duration
}

// Sample is what was seen of a finished call.
type Sample struct {
	Class        call.Class
	Model        call.Model
	AnswerTokens int
	// FirstToken is the time from dispatch to the first token; PerToken is the
	// mean time between tokens, zero for answers of one token.
	FirstToken, PerToken time.Duration
}

type classKey struct {
	class call.Class
	model call.Model
}

// Estimator holds what was learnt.
type Estimator struct {
	config  Config
	classes map[classKey]*history
	models  map[call.Model]*modelHistory
}

// modelHistory is what was learnt about one model.
type modelHistory struct {
	answer, firstToken, perToken *history
	served                       meter
}

// New returns an estimator that has learnt nothing.
//
// Errors: NotValid where the config is.
func New(c Config) (*Estimator, error) {
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	return &Estimator{
		config:  c,
		classes: map[classKey]*history{},
		models:  map[call.Model]*modelHistory{},
	}, nil
}

// Estimate estimates the call's cost and times.
func (e *Estimator) Estimate(now time.Time, c call.Call) Estimate {
	answer, mean := e.answer(c)
	first, per := e.config.FirstToken, e.config.PerToken
	if m, ok := e.models[c.Model]; ok {
		first = m.firstToken.duration(e.config, first)
		per = m.perToken.duration(e.config, per)
	}
	return Estimate{
		Cost:         max(1, c.PromptTokens+mean),
		AnswerTokens: answer,
		FirstToken:   first,
		Service:      first + time.Duration(answer)*per,
	}
}

// answer returns the quantile and the mean of the answer's length, both within
// the caller's bound.
func (e *Estimator) answer(c call.Call) (quantile, mean int) {
	quantile, mean = e.config.AnswerTokens, e.config.AnswerTokens
	if h := e.lengths(c); h != nil {
		quantile, mean = int(h.quantile), int(h.mean)
	}
	if c.MaxTokens > 0 {
		quantile, mean = min(quantile, c.MaxTokens), min(mean, c.MaxTokens)
	}
	return max(1, quantile), max(1, mean)
}

// lengths returns the history to judge the call by, or nil.
func (e *Estimator) lengths(c call.Call) *history {
	if h, ok := e.classes[classKey{c.Class, c.Model}]; ok && h.count() >= e.config.MinSamples {
		return h
	}
	if m, ok := e.models[c.Model]; ok && m.answer.count() >= e.config.MinSamples {
		return m.answer
	}
	return nil
}

// Finished learns from a call that ended whole.
func (e *Estimator) Finished(now time.Time, s Sample) {
	m := e.model(s.Model)
	m.answer.add(now, int64(s.AnswerTokens))
	m.firstToken.add(now, s.FirstToken.Microseconds())
	if s.PerToken > 0 {
		m.perToken.add(now, s.PerToken.Microseconds())
	}
	if h := e.class(s); h != nil {
		h.add(now, int64(s.AnswerTokens))
	}
}

func (e *Estimator) model(name call.Model) *modelHistory {
	m, ok := e.models[name]
	if !ok {
		m = &modelHistory{
			answer:     newHistory(&e.config),
			firstToken: newHistory(&e.config),
			perToken:   newHistory(&e.config),
		}
		e.models[name] = m
	}
	return m
}

// class returns the history of the sample's class; nil where there are too many.
func (e *Estimator) class(s Sample) *history {
	key := classKey{s.Class, s.Model}
	h, ok := e.classes[key]
	if !ok && len(e.classes) < e.config.MaxClasses {
		h = newHistory(&e.config)
		e.classes[key] = h
	}
	return h
}

// Dispatched learns the rate at which the model's queue is served: cost tokens
// left it, and backlogged tells whether calls still wait.
func (e *Estimator) Dispatched(now time.Time, model call.Model, cost int, backlogged bool) {
	e.model(model).served.add(now, cost, backlogged, e.config.RateWindow)
}

// Rate returns the rate in tokens a second at which the model's queue is served
// while calls wait; 0 where it is not known.
func (e *Estimator) Rate(now time.Time, model call.Model) float64 {
	m, ok := e.models[model]
	if !ok {
		return 0
	}
	return m.served.rate(now, e.config.RateWindow)
}

// Package estim estimates a call's cost in tokens and its service time from the
// lengths and times of earlier answers.
//
// Answer lengths are learnt for each pair of class and model, because they are not
// known beforehand. A class with too few samples uses the samples of its model, a
// model with too few the defaults of the config. Samples drop out after one to two
// windows, when newer ones arrive. The time to the first token, the time per token
// and the rate at which the queue on this VM is served are learnt for each model.
//
// # Usage
//
//	e, err := estim.New(estim.Defaults())
//	...
//	estimate := e.Estimate(now, call)
//	verdict := queue.Offer(now, sched.Item{Call: call, Cost: estimate.Cost, Service: estimate.Service})
//	...
//	e.Dispatched(now, call.Model, estimate.Cost, queue.Backlogged(call.Model))
//	e.Finished(now, estim.Sample{...})
//
// Rate can be used as sched.Config.Rate. An Estimator is not safe for concurrent
// use; the caller passes in the time.
package estim

import (
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Estimate is the estimated cost and duration of a call.
type Estimate struct {
	// Cost is the expected number of tokens of prompt and answer, with the mean
	// length of answers.
	Cost int
	// AnswerTokens is the length of the answer at Config.Quantile, on which Service
	// is based.
	AnswerTokens int
	// FirstToken is the time from dispatch to the first token, Service the time
	// from dispatch to the last.
	FirstToken, Service time.Duration
}

// Sample holds the measurements of a finished call.
type Sample struct {
	Class        call.Class
	Model        call.Model
	AnswerTokens int
	// FirstToken is the time from dispatch to the first token. PerToken is the mean
	// time between tokens; zero for an answer of one token.
	FirstToken, PerToken time.Duration
}

type classKey struct {
	class call.Class
	model call.Model
}

// Estimator estimates calls from the samples of finished ones.
type Estimator struct {
	config  Config
	classes map[classKey]*history
	models  map[call.Model]*modelHistory
}

// modelHistory holds the samples of one model.
type modelHistory struct {
	answer, firstToken, perToken *history
	serviceRate                  rateMeter
}

// New returns an estimator without samples.
//
// Errors: NotValid if the config is not valid.
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
	answer, mean := e.answerTokens(c)
	firstToken, perToken := e.config.FirstToken, e.config.PerToken
	if m, ok := e.models[c.Model]; ok {
		firstToken = m.firstToken.duration(e.config, firstToken)
		perToken = m.perToken.duration(e.config, perToken)
	}
	return Estimate{
		Cost:         max(1, c.PromptTokens+mean),
		AnswerTokens: answer,
		FirstToken:   firstToken,
		Service:      firstToken + time.Duration(answer)*perToken,
	}
}

// answerTokens returns the quantile and the mean of the answer's length, neither
// above the call's MaxTokens if that is set.
func (e *Estimator) answerTokens(c call.Call) (quantile, mean int) {
	quantile, mean = e.config.AnswerTokens, e.config.AnswerTokens
	if h := e.lengthHistory(c); h != nil {
		quantile, mean = int(h.quantile), int(h.mean)
	}
	if c.MaxTokens > 0 {
		quantile, mean = min(quantile, c.MaxTokens), min(mean, c.MaxTokens)
	}
	return max(1, quantile), max(1, mean)
}

// lengthHistory returns the history of answer lengths to use for the call: that of
// its class, else that of its model, else nil.
func (e *Estimator) lengthHistory(c call.Call) *history {
	if h, ok := e.classes[classKey{c.Class, c.Model}]; ok && h.count() >= e.config.MinSamples {
		return h
	}
	if m, ok := e.models[c.Model]; ok && m.answer.count() >= e.config.MinSamples {
		return m.answer
	}
	return nil
}

// Finished records the sample of a call that ended with a complete answer.
func (e *Estimator) Finished(now time.Time, s Sample) {
	m := e.modelOf(s.Model)
	m.answer.add(now, int64(s.AnswerTokens))
	m.firstToken.add(now, s.FirstToken.Microseconds())
	if s.PerToken > 0 {
		m.perToken.add(now, s.PerToken.Microseconds())
	}
	if h := e.classOf(s); h != nil {
		h.add(now, int64(s.AnswerTokens))
	}
}

// modelOf returns the model's history, creating it if there is none.
func (e *Estimator) modelOf(name call.Model) *modelHistory {
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

// classOf returns the history of the sample's class and model, creating it if there
// is none; nil if MaxClasses others exist already.
func (e *Estimator) classOf(s Sample) *history {
	key := classKey{s.Class, s.Model}
	h, ok := e.classes[key]
	if !ok && len(e.classes) < e.config.MaxClasses {
		h = newHistory(&e.config)
		e.classes[key] = h
	}
	return h
}

// Dispatched records that a call of cost tokens left the model's queue; backlogged
// says whether other calls still wait in it.
func (e *Estimator) Dispatched(now time.Time, model call.Model, cost int, backlogged bool) {
	e.modelOf(model).serviceRate.add(now, cost, backlogged, e.config.RateWindow)
}

// Rate returns the rate in tokens per second at which the model's queue is served
// while calls wait in it, or 0 if it is not known.
func (e *Estimator) Rate(now time.Time, model call.Model) float64 {
	m, ok := e.models[model]
	if !ok {
		return 0
	}
	return m.serviceRate.rate(now, e.config.RateWindow)
}

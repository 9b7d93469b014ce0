package sched

import (
	"time"

	"gentianwell/core/call"
)

// estimatedWait estimates how long one more item of the tier and team would wait:
// for the items of all higher tiers, and for those of its own tier that fair
// queueing serves first. It is 0 if the rate is unknown.
func (q *Queue) estimatedWait(now time.Time, m *modelQueue, t call.Tier, team call.Team, cost int) time.Duration {
	rate := q.config.Rate(now, m.name)
	if rate <= 0 {
		return 0
	}
	ahead := m.tokensAbove(t) + m.tokensAhead(t, team, cost)
	return seconds(float64(ahead) / rate)
}

// tokensAbove returns the tokens waiting in the tiers above t.
func (m *modelQueue) tokensAbove(t call.Tier) int {
	sum := 0
	for up := range t {
		if m.tiers[up] != nil {
			sum += m.tiers[up].tokens
		}
	}
	return sum
}

// tokensAhead returns the tokens waiting in tier t that would be served before one
// more item of the team.
func (m *modelQueue) tokensAhead(t call.Tier, team call.Team, cost int) int {
	tier := m.tiers[t]
	if tier == nil {
		return 0
	}
	_, own := tier.teamLoad(string(team))
	others := min(tier.tokens-own, (own+cost)*len(tier.teams.busy.list))
	return own + others
}

// retryAfter returns the delay after which a refused caller should retry: RetryMin
// plus the time to serve the waiting items of tier t and above, at most half of
// RetryMax, plus jitter of up to the same length.
func (q *Queue) retryAfter(now time.Time, m *modelQueue, t call.Tier) time.Duration {
	after := q.config.RetryMin
	if rate := q.config.Rate(now, m.name); rate > 0 {
		after += seconds(float64(m.tokensAbove(t+1)) / rate)
	}
	after = min(after, q.config.RetryMax/2)
	jitter := time.Duration(q.config.Rand.Int64N(int64(after) + 1))
	return after + jitter
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

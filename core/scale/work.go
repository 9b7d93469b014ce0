package scale

import "math"

const (
	// onTimeFraction is the part of a latency target within which the first token should come; the
	// rest is for the way to the caller.
	onTimeFraction = 0.9
	// lateProbability is the share of requests that may wait beyond their target.
	lateProbability = 0.02
	// leastUse and mostUse bound the permitted use of engine time.
	leastUse, mostUse = 0.2, 0.8
)

// readTime returns the engine time for the prompts of a class, in seconds.
func (c Config) readTime(class Class, s Speed) float64 {
	tokens := class.WorkTokens + c.MissShare*max(0, class.PromptTokens-class.WorkTokens)
	return tokens * s.PerToken.Seconds()
}

// work returns the engine time that the demand needs in each second, in replicas.
func (c Config) work(in Input) float64 {
	var sum float64
	for _, class := range in.Classes {
		sum += class.PerSecond * c.readTime(class, in.Speed)
	}
	return sum
}

// use returns the greatest part of a replica's time for which its classes' prompts are read so
// early that their first tokens meet the targets.
//
// A replica is taken as a queue with one server and Poisson arrivals (M/G/1): the wait exceeds t
// with a probability of about ρ·exp(-(1-ρ)·t/r), where ρ is the use and r the mean residual
// reading time.
func (c Config) use(in Input) float64 {
	var rate, first, second float64
	for _, class := range in.Classes {
		s := c.readTime(class, in.Speed)
		rate, first, second = rate+class.PerSecond, first+class.PerSecond*s, second+class.PerSecond*s*s
	}
	if rate == 0 || first == 0 {
		return c.Balance * mostUse
	}
	residual := second / (2 * first)
	least := mostUse
	for _, class := range in.Classes {
		slack := onTimeFraction*class.Target.Seconds() - in.Speed.Base.Seconds() - c.readTime(class, in.Speed)
		// A target that an idle replica does not meet can't be met by more replicas.
		if class.Target > 0 && slack > 0 {
			least = min(least, solveUse(slack/residual))
		}
	}
	return c.Balance * max(leastUse, least)
}

// solveUse returns the use at which the wait exceeds a multiple of the residual reading time with
// lateProbability.
func solveUse(multiple float64) float64 {
	low, high := 0.0, 1.0
	for range 20 {
		middle := (low + high) / 2
		if middle*math.Exp(-(1-middle)*multiple) < lateProbability {
			low = middle
		} else {
			high = middle
		}
	}
	return low
}

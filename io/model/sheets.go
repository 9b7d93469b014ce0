package model

import "time"

// millis returns a time of n milliseconds.
func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// summaries returns the kind summary. The last parameter of summaries, questions and
// plots is the number of different texts of the second shared part. The lengths of
// prompts are the same in all deployments.
func summaries(rate float64, subjects int) Kind {
	return Kind{
		Name: "summary", Tier: 2, Rate: rate,
		OwnTokens: LogNormal{6610, 1.4, 54600},
		Parts:     []SharedPart{{LogNormal{512, 0.4, 1280}, 3}, {LogNormal{4870, 0.7, 14600}, subjects}},
	}
}

func questions(rate float64, sessions int) Kind {
	return Kind{
		Name: "question", Tier: 0, Rate: rate,
		OwnTokens: LogNormal{628, 1, 3310},
		Parts:     []SharedPart{{LogNormal{119, 0.4, 298}, 40}, {LogNormal{79.4, 0.7, 238}, sessions}},
	}
}

func plots(rate float64, subjects int) Kind {
	return Kind{
		Name: "plot", Tier: 1, Rate: rate,
		OwnTokens: LogNormal{1800, 1.3, 6870},
		Parts:     []SharedPart{{LogNormal{341, 0.4, 851}, 16}, {LogNormal{227, 0.7, 681}, subjects}},
	}
}

// withTargets returns the kind with times in milliseconds, worths and answer lengths.
func (k Kind) withTargets(target, pause, deadline, worth, late float64, events LogNormal) Kind {
	k.FirstEventTarget, k.MaxPause, k.Deadline, k.Worth, k.LateWorth, k.Events = millis(target), millis(pause), millis(deadline), worth, late, events
	return k
}

// heavyLoad has two bursts of summaries at a multiple of their rate and one of questions
// between them.
var heavyLoad = []Burst{
	{Kind: "summary", At: 500 * time.Millisecond, For: 9 * time.Second, Factor: 3},
	{Kind: "question", At: 11 * time.Second, For: 5 * time.Second, Factor: 2.4},
	{Kind: "summary", At: 17500 * time.Millisecond, For: 3500 * time.Millisecond, Factor: 2.5},
}

var (
	fastEngine = EngineSpec{
		Slots: 16, MaxWaiting: 33, StepTime: millis(2.2), ContextTime: millis(0.0175), PrefillRate: 140, PairsTime: millis(0.295), FirstEventDelay: millis(53),
		TokensPerEvent: 12, PrefillChunk: 2048, MemoryTokens: 444000, TimeFactors: []float64{1, 1, 1.3}, ReportLag: millis(200),
	}
	steadyEngine = EngineSpec{
		Slots: 12, MaxWaiting: 25, StepTime: millis(4.23), ContextTime: millis(0.00857), PrefillRate: 64.2, PairsTime: millis(0.647), FirstEventDelay: millis(0.67),
		TokensPerEvent: 7, PrefillChunk: 2048, MemoryTokens: 396357, ReportLag: millis(100),
	}
	// Wide and Broad have many VMs and many engines with few slots each, Narrow and
	// Lean few VMs and few engines with many slots each.
	Wide = Deployment{
		Name: "wide", VMs: 65, Engines: 89, Zones: 3, Length: 34 * time.Second, Engine: fastEngine, Bursts: heavyLoad,
		Kinds: []Kind{
			summaries(248, 922).withTargets(1500, 800, 10000, 2.6, 0.8, LogNormal{31.9, 0.44, 93.3}),
			questions(160, 1439).withTargets(250, 200, 8000, 1.2, 0.11, LogNormal{24.3, 0.69, 79.5}),
			plots(392, 3506).withTargets(400, 300, 2500, 1.5, 0.45, LogNormal{1.88, 1.4, 7.52}),
		},
	}
	Broad = Deployment{
		Name: "broad", VMs: 62, Engines: 112, Zones: 4, Length: 34 * time.Second, Engine: steadyEngine, Bursts: heavyLoad,
		Kinds: []Kind{
			summaries(183, 682).withTargets(2500, 1000, 15000, 2.5, 1.2, LogNormal{54.6, 0.44, 160}),
			questions(87, 519).withTargets(300, 250, 12000, 1.2, 0.17, LogNormal{41.6, 0.69, 136}),
			plots(229, 1362).withTargets(500, 400, 3000, 1.4, 0.69, LogNormal{3.22, 1.4, 12.9}),
		},
	}
	Narrow = Deployment{
		Name: "narrow", VMs: 9, Engines: 18, Zones: 3, Length: 34 * time.Second, Engine: fastEngine.withBatch(48, 97, 8), Bursts: heavyLoad,
		Kinds: []Kind{
			summaries(30.7, 300).withTargets(1500, 800, 10000, 3.1, 0.94, LogNormal{48, 0.44, 140}),
			questions(58.4, 500).withTargets(250, 200, 10000, 1.4, 0.13, LogNormal{36, 0.69, 119}),
			plots(74.2, 700).withTargets(400, 300, 2500, 1.8, 0.53, LogNormal{3, 1.4, 12}),
		},
	}
	Lean = Deployment{
		Name: "lean", VMs: 9, Engines: 9, Zones: 3, Length: 34 * time.Second, Engine: steadyEngine.withBatch(64, 129, 4), Bursts: heavyLoad,
		Kinds: []Kind{
			summaries(10.5, 100).withTargets(2500, 800, 15000, 3.3, 1.6, LogNormal{96, 0.44, 280}),
			questions(20.5, 200).withTargets(300, 200, 15000, 1.6, 0.23, LogNormal{73, 0.69, 240}),
			plots(18.1, 200).withTargets(500, 300, 3000, 1.9, 0.95, LogNormal{6, 1.4, 24}),
		},
	}
)

// The engines of the uneven deployments are 0.7 and 1.7 times as fast as usual, and 15% of
// them at a time are slowed down 2.5 times for 0.4 s on average.
var (
	unevenFactors = []float64{1 / 0.7, 1 / 1.7}
	unevenNoise   = Noise{Factor: 2.5, Fraction: 0.15, MeanLength: 400 * time.Millisecond}
	// Uneven and UnevenLarge have engines of uneven speeds that report their work figures,
	// and zones that peak at different times. Lengths of answers, worths and the figures of the
	// engines that their callers' page does not state are those of Broad.
	Uneven = Deployment{
		Name: "uneven", VMs: 61, Engines: 112, Zones: 3, Length: 30 * time.Second, Wave: Wave{Swing: 0.55, Period: 14 * time.Second},
		Engine: EngineSpec{
			Slots: 16, MaxWaiting: 33, StepTime: millis(3.03), ContextTime: millis(0.0175), PrefillRate: 92.1, PairsTime: millis(0.4), FirstEventDelay: millis(20),
			TokensPerEvent: 12, PrefillChunk: 2048, MemoryTokens: 396357, TimeFactors: unevenFactors, ReportLag: millis(50), Noise: unevenNoise, ReportsWork: true,
		},
		Kinds: []Kind{
			summaries(142, 682).withTargets(2000, 1000, 12000, 2, 0.8, LogNormal{54.6, 0.44, 160}),
			questions(116, 519).withTargets(300, 250, 10000, 3, 0.3, LogNormal{41.6, 0.69, 136}),
			plots(236, 1362).withTargets(400, 400, 3000, 1.4, 0.5, LogNormal{3.22, 1.4, 12.9}),
		},
	}
	UnevenLarge = Deployment{
		Name: "unevenLarge", VMs: 91, Engines: 140, Zones: 3, Length: 30 * time.Second, Wave: Wave{Swing: 0.55, Period: 14 * time.Second},
		Engine: EngineSpec{
			Slots: 12, MaxWaiting: 25, StepTime: millis(2.6), ContextTime: millis(0.0175), PrefillRate: 48.2, PairsTime: millis(0.6), FirstEventDelay: millis(20),
			TokensPerEvent: 7, PrefillChunk: 2048, MemoryTokens: 396357, TimeFactors: unevenFactors, ReportLag: millis(50), Noise: unevenNoise, ReportsWork: true,
		},
		Kinds: []Kind{
			summaries(116, 682).withTargets(2500, 1000, 15000, 2, 0.8, LogNormal{54.6, 0.44, 160}),
			questions(185, 519).withTargets(600, 250, 12000, 3, 0.3, LogNormal{41.6, 0.69, 136}),
			plots(154, 1362).withTargets(1500, 400, 6000, 1.4, 0.5, LogNormal{3.22, 1.4, 12.9}),
		},
	}
)

// withBatch returns the spec with other limits of the batch and the queue and another
// number of tokens per event, for engines that are all equally fast.
func (s EngineSpec) withBatch(slots, maxWaiting, tokensPerEvent int) EngineSpec {
	s.Slots, s.MaxWaiting, s.TokensPerEvent, s.TimeFactors = slots, maxWaiting, tokensPerEvent, nil
	return s
}

// Deployments holds the deployments that can be simulated, by name.
var Deployments = map[string]Deployment{Wide.Name: Wide, Broad.Name: Broad, Narrow.Name: Narrow, Lean.Name: Lean, Uneven.Name: Uneven, UnevenLarge.Name: UnevenLarge}

// WithSteadyLoad returns the deployment with its load multiplied and without bursts.
func (d Deployment) WithSteadyLoad(load float64) Deployment {
	kinds := make([]Kind, 0, len(d.Kinds))
	for _, k := range d.Kinds {
		k.Rate *= load
		kinds = append(kinds, k)
	}
	d.Kinds, d.Bursts = kinds, nil
	return d
}

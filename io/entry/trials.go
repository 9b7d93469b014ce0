package entry

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/poison"
)

const (
	// trialClaimTimeout limits how long the request that is to be the trial waits for the
	// claim.
	trialClaimTimeout = 300 * time.Millisecond
	// trialPausePerVM bounds the claims of all VMs together: each pauses for this time,
	// times the number of VMs, after a claim.
	trialPausePerVM = 25 * time.Millisecond
	// maxTrialParts limits the parts of one trial, which are claimed in one transaction.
	maxTrialParts = maxCrashWrites
)

// trials lets a request with refused parts of its prompt run now and then, once over all
// VMs: replicas that crashed for another reason, or have been repaired, finish it.
type trials struct {
	registry *poison.Registry
	// write claims trials in the platform's store.
	write   func(context.Context, []poison.Fingerprint) error
	storeUp func() bool
	vms     func() int
	now     func() time.Time
	log     logrus.FieldLogger

	mu       sync.Mutex
	claiming bool
	// pauseUntil is when the next claim may begin.
	pauseUntil time.Time
}

// claim reports whether a request with refused parts may run as their trial. It takes up to
// trialClaimTimeout if a trial of all of them is due, and returns at once otherwise.
func (t *trials) claim(parts []poison.Fingerprint) bool {
	if !t.begin(parts) {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), trialClaimTimeout)
	defer cancel()
	err := t.write(ctx, parts)
	t.mu.Lock()
	t.claiming = false
	t.pauseUntil = t.now().Add(time.Duration(t.vms()) * trialPausePerVM)
	t.mu.Unlock()
	log := t.log.WithFields(logrus.Fields{"parts": len(parts), "part": parts[0].String()})
	if err != nil {
		log.WithField("event", "trial").WithError(err).Info("no trial of a refused part")
		return false
	}
	log.WithField("event", "trial").Warn("a refused part of a prompt is tried once more")
	return true
}

// begin reports whether a claim begins now.
func (t *trials) begin(parts []poison.Fingerprint) bool {
	if !t.due(parts) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	begins := !t.claiming
	t.claiming = true
	return begins
}

// due reports whether a trial of all the parts is due and this VM may claim it.
func (t *trials) due(parts []poison.Fingerprint) bool {
	now := t.now()
	t.mu.Lock()
	pauses := t.claiming || now.Before(t.pauseUntil)
	t.mu.Unlock()
	if pauses || len(parts) > maxTrialParts || !t.storeUp() {
		return false
	}
	for _, part := range parts {
		if !t.registry.TrialDue(now, part) {
			return false
		}
	}
	return true
}

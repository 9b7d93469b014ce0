package entry

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/poison"
	"gentianwell/io/back"
	"gentianwell/io/peer"
	"gentianwell/io/proxy"
)

// crashes records which requests were running on replicas that crashed.
type crashes struct {
	registry *poison.Registry
	dial     peer.DialFunc
	now      func() time.Time
	log      logrus.FieldLogger
	// observe is called with each lost run, and whether its replica had crashed.
	observe func(crashed bool)

	mu sync.Mutex
	// checks are the checks in progress of whether a replica still accepts connections.
	checks map[call.ReplicaID]*crashCheck
}

// crashCheck is a check whether a replica still accepts connections.
type crashCheck struct {
	// done is closed when crashed is set.
	done    chan struct{}
	crashed bool
}

// runLost handles a run whose connection was lost. It returns at once.
func (c *crashes) runLost(lost proxy.LostRun) { go c.recordLost(lost) }

// recordLost records a crash if the replica of a lost run accepts no connections.
func (c *crashes) recordLost(lost proxy.LostRun) {
	crashed := c.hasCrashed(lost.Target)
	c.observe(crashed)
	log := c.log.WithFields(logrus.Fields{
		"request": lost.Request, "fingerprint": strconv.FormatUint(uint64(lost.Fingerprint), 16), "replica": lost.Target.ID,
	})
	if !crashed {
		log.WithFields(logrus.Fields{"event": "lostRun"}).Info("connection to a replica was lost, but the replica still accepts connections")
		return
	}
	v := c.registry.Crashed(c.now(), lost.Fingerprint, lost.Target.ID, false)
	log.WithFields(logrus.Fields{
		"event": "crash", "next": v.Action, "reason": v.Reason, "crashes": v.Crashes, "finishes": v.Finishes,
	}).Warn("replica crashed while running a request")
}

// hasCrashed reports whether a replica accepts no connections. All requests that were
// running on a replica share one check.
func (c *crashes) hasCrashed(target back.Target) bool {
	c.mu.Lock()
	check, running := c.checks[target.ID]
	if !running {
		check = &crashCheck{done: make(chan struct{})}
		c.checks[target.ID] = check
	}
	c.mu.Unlock()
	if running {
		<-check.done
		return check.crashed
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := c.dial(ctx, target.Address)
	if check.crashed = err != nil; !check.crashed {
		if err := conn.Close(); err != nil {
			c.log.WithFields(logrus.Fields{"event": "backendClose", "replica": target.ID}).WithError(err).Debug("closing the connection of a check failed")
		}
	}
	c.mu.Lock()
	delete(c.checks, target.ID)
	c.mu.Unlock()
	close(check.done)
	return check.crashed
}

// runCompleted records that a replica has completed a request.
func (c *crashes) runCompleted(fp poison.Fingerprint) { c.registry.Finished(c.now(), fp) }

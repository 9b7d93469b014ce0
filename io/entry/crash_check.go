package entry

import (
	"context"
	"syscall"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/io/back"
)

// maxCrashChecks is how often a replica is asked whether it accepts connections, as long as
// it does not answer: a lost packet must not decide.
const maxCrashChecks = 2

// crashCheck is a check whether a replica refuses connections.
type crashCheck struct {
	// done is closed when crashed is set.
	done    chan struct{}
	crashed bool
}

// hasCrashed reports whether a replica refuses connections. One that does not answer may have
// a full queue of new connections, or its link may be cut: it does not count as crashed. All
// requests that were running on a replica share one check.
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
	check.crashed = c.refusesConnections(target)
	c.mu.Lock()
	delete(c.checks, target.ID)
	c.mu.Unlock()
	close(check.done)
	return check.crashed
}

// refusesConnections asks a replica up to maxCrashChecks times.
func (c *crashes) refusesConnections(target back.Target) bool {
	log := c.log.WithField("replica", target.ID)
	for range maxCrashChecks {
		ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
		conn, err := c.dial(ctx, target.Address)
		cancel()
		switch {
		case err == nil:
			if err := conn.Close(); err != nil {
				log.WithField("event", "backendClose").WithError(err).Debug("closing the connection of a check failed")
			}
			return false
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		}
		log.WithFields(logrus.Fields{"event": "crashCheck"}).WithError(err).Info("replica does not answer whether it accepts connections")
	}
	return false
}

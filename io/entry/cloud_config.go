package entry

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"
)

// Duty is a kind of call to the platform's API that one VM at a time makes.
type Duty string

// The duties: to report usage, and to order replicas.
const (
	DutyUsage Duty = "usage_report"
	DutyScale Duty = "autoscale"
)

// The defaults of CloudConfig, which are the bounds of the known platforms.
const (
	defaultCallsPerSecond = 50
	defaultLease          = 3 * time.Second
	defaultSlack          = 300 * time.Millisecond
	defaultUsageWindow    = 5 * time.Second
	defaultUsageTolerance = 0.05
	defaultUsageLate      = 10 * time.Second
)

// CloudConfig says which duties there are at the platform's API.
type CloudConfig struct {
	// Address is that of the API; without one there are no duties.
	Address netip.AddrPort
	Duties  []Duty
	// CallsPerSecond is the number of calls that the API takes from all VMs together.
	CallsPerSecond float64
	// Lease is the time to live of the lease of the duties, and Slack the least time by which
	// its holder stops before the lease ends.
	Lease, Slack time.Duration
	// Window is the length of a window of usage. A report has to be within Tolerance, a fraction
	// of the truth, and is due Late after the window's end.
	Window    time.Duration
	Tolerance float64
	Late      time.Duration
}

// Has reports whether there is a duty.
func (c *CloudConfig) Has(d Duty) bool { return c.Address.IsValid() && slices.Contains(c.Duties, d) }

// Active reports whether there is any duty.
func (c *CloudConfig) Active() bool { return c.Has(DutyUsage) || c.Has(DutyScale) }

// Defaults fills in the fields left zero.
func (c *CloudConfig) Defaults() {
	c.CallsPerSecond = cmp.Or(c.CallsPerSecond, defaultCallsPerSecond)
	c.Lease, c.Slack = cmp.Or(c.Lease, defaultLease), cmp.Or(c.Slack, defaultSlack)
	c.Window, c.Late = cmp.Or(c.Window, defaultUsageWindow), cmp.Or(c.Late, defaultUsageLate)
	c.Tolerance = cmp.Or(c.Tolerance, defaultUsageTolerance)
}

// Validate checks the configuration.
//
// Errors: NotValid with the fields.
func (c *CloudConfig) Validate() error {
	switch {
	case c.CallsPerSecond < 0 || c.Tolerance < 0:
		return errors.NotValidf("CallsPerSecond %g, Tolerance %g (none may be negative)", c.CallsPerSecond, c.Tolerance)
	case c.Window < time.Millisecond:
		return errors.NotValidf("Window %s (must be at least 1ms)", c.Window)
	case c.Slack < 0 || c.Slack >= c.Lease/3:
		return errors.NotValidf("Lease %s, Slack %s (Slack must be less than a third of Lease)", c.Lease, c.Slack)
	case c.Late < 2*c.callTime():
		return errors.NotValidf("Late %s, Lease %s (Late must be at least two thirds of Lease)", c.Late, c.Lease)
	}
	return nil
}

// callTime returns the time that a call to the API may take: what is left of a lease, apart from
// the time between renewals and the margin.
func (c *CloudConfig) callTime() time.Duration { return c.Lease / 3 }

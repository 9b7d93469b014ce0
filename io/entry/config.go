package entry

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/fleet"
	"gentianwell/core/reader"
	"gentianwell/core/table"
	"gentianwell/io/duty"
	"gentianwell/io/kvs"
	"gentianwell/io/peer"
	"gentianwell/io/proxy"
)

// The defaults of Config.
const (
	// defaultStopLimit is how long a planned stop may take.
	defaultStopLimit = 8 * time.Second
	// defaultNotice is enough for a load balancer that checks once a second and needs
	// two failed checks, of which the second may be late.
	defaultNotice = 3 * time.Second
	// defaultRetryRatio and the next two constants are a cautious retry budget.
	defaultRetryRatio  = 0.1
	defaultRetrySlack  = 20
	defaultRetryWindow = 10 * time.Second
	// defaultApplyTime and the next two constants are the bounds of the known platforms.
	defaultApplyTime  = 2 * time.Second
	defaultDrainTime  = 2 * time.Second
	defaultStableTime = 3 * time.Second
	// defaultTrialAfter is longer than a replica takes to restart.
	defaultTrialAfter = 15 * time.Second
)

// Config holds the start-up settings of a process.
type Config struct {
	VM   call.VMID
	Zone call.Zone
	// CallerAddress is the listen address for callers, ReadinessAddress that for the
	// load balancer's readiness checks.
	CallerAddress, ReadinessAddress netip.AddrPort
	// PeerAddress is the listen address for other entry VMs; all VMs use the same port.
	// If it is not valid, this VM does not communicate with others.
	PeerAddress netip.AddrPort
	// MetricsAddress is a further listen address for metrics and readiness checks. If it
	// is not valid, metrics are served at ReadinessAddress only.
	MetricsAddress netip.AddrPort
	// Seeds are the peer addresses of a few VMs; they may be out of date.
	Seeds []netip.AddrPort
	// StoreAddress is the address of the platform's key-value store.
	StoreAddress netip.AddrPort
	// StoreHistory is how long the store keeps revisions for watches; zero if not configured.
	StoreHistory time.Duration
	// MemoryBytes is the memory that the process may use; zero if not configured.
	MemoryBytes int64
	// MaxFds is the number of descriptors that the process may use; zero if not configured.
	MaxFds int
	// StopLimit is the time between the signal to stop and the kill.
	StopLimit time.Duration
	// Notice is how long a stopping VM still accepts requests.
	Notice time.Duration
	// RetryRatio is the number of retries per request that all VMs together may send to
	// a service, and RetrySlack the number of further retries, in each RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ApplyTime is how soon a change of the configuration has to be in force, DrainTime how
	// long a replica goes on serving after its entry says that it leaves or was removed.
	// StableTime is how long after an outage the platform's store counts as stable again.
	ApplyTime, DrainTime, StableTime time.Duration
	// TrialAfter is how long after its latest crash a part of prompts that crashes replicas
	// is tried once more; further trials wait ever longer.
	TrialAfter time.Duration
	// StreamKeep is how long after it began a stream may be taken up at least; callers that wait
	// longer extend it. Zero means 10 s.
	StreamKeep time.Duration
	// ReadersFrom is the number of known VMs, this one included, from which a few VMs watch the list
	// of replicas for the others. Zero means 30.
	ReadersFrom int
	// TeamShares divides the capacity of a service between the teams while it is short.
	TeamShares bool
	// Cloud is for the duties that one VM at a time has at the platform's API.
	Cloud CloudConfig
}

// Defaults fills in the fields left zero.
func (c *Config) Defaults() {
	if c.StopLimit == 0 {
		c.StopLimit = defaultStopLimit
	}
	if c.Notice == 0 {
		c.Notice = defaultNotice
	}
	if c.TrialAfter == 0 {
		c.TrialAfter = defaultTrialAfter
	}
	c.ReadersFrom = cmp.Or(c.ReadersFrom, reader.MinVMs)
	c.Cloud.Defaults()
	c.ApplyTime = cmp.Or(c.ApplyTime, defaultApplyTime)
	c.DrainTime = cmp.Or(c.DrainTime, defaultDrainTime)
	c.StableTime = cmp.Or(c.StableTime, defaultStableTime)
	if c.RetryWindow == 0 {
		c.RetryRatio, c.RetrySlack, c.RetryWindow = defaultRetryRatio, defaultRetrySlack, defaultRetryWindow
	}
}

// Validate checks the configuration.
//
// Errors: NotValid with the fields.
func (c *Config) Validate() error {
	switch {
	case c.VM == "":
		return errors.NotValidf("VM: empty (must be the name of this VM)")
	case !c.CallerAddress.IsValid() || !c.ReadinessAddress.IsValid() || !c.StoreAddress.IsValid():
		return errors.NotValidf("CallerAddress %s, ReadinessAddress %s, StoreAddress %s (each must be an IP address with a port)",
			c.CallerAddress, c.ReadinessAddress, c.StoreAddress)
	case c.ApplyTime < 0 || c.DrainTime < 0 || c.StableTime < 0:
		return errors.NotValidf("ApplyTime %s, DrainTime %s, StableTime %s (none may be negative)", c.ApplyTime, c.DrainTime, c.StableTime)
	case c.MemoryBytes < 0 || c.MaxFds < 0:
		return errors.NotValidf("MemoryBytes %d, MaxFds %d (none may be negative)", c.MemoryBytes, c.MaxFds)
	case c.StreamKeep < 0:
		return errors.NotValidf("StreamKeep %s (must not be negative)", c.StreamKeep)
	case c.ReadersFrom < 1:
		return errors.NotValidf("ReadersFrom %d (must be at least 1)", c.ReadersFrom)
	case c.TrialAfter < 0:
		return errors.NotValidf("TrialAfter %s (must not be negative)", c.TrialAfter)
	case c.StopLimit < 0 || c.Notice < 0 || c.RetryRatio < 0 || c.RetrySlack < 0 || c.RetryWindow < 0:
		return errors.NotValidf("StopLimit %s, Notice %s, RetryRatio %g, RetrySlack %g, RetryWindow %s (none may be negative)",
			c.StopLimit, c.Notice, c.RetryRatio, c.RetrySlack, c.RetryWindow)
	}
	return errors.Annotate(c.Cloud.Validate(), "Cloud")
}

// Source says where the store keeps the configuration and the replicas' entries, and
// how to parse them.
type Source struct {
	Store kvs.Service
	// ConfigKey is the key of the configuration, ReplicaPrefix the prefix of the keys
	// of the replicas' entries.
	ConfigKey     string
	ReplicaPrefix string
	// ParseConfig parses the configuration, ParseReplica a replica's entry.
	ParseConfig  func(raw []byte) (table.Document, error)
	ParseReplica func(kvs.Entry) fleet.Record
}

// Options are the parameters of New. Fields are required unless they are said to be optional.
type Options struct {
	Config  Config
	Source  Source
	Headers proxy.HeaderCodec
	Log     logrus.FieldLogger
	Now     func() time.Time
	// Build describes the program in the log line with which the process starts. It is optional.
	Build logrus.Fields
	// Seed seeds all random choices.
	Seed uint64
	// Dial opens the connections to peers and backend servers. It is optional and dials TCP by
	// default.
	Dial peer.DialFunc
	// Cloud is the platform's API. It is required if Config.Cloud has an address and duties.
	Cloud duty.API
	// StoreEra returns the greatest era of the store that has been seen. It is optional: without
	// it, each renewal of the duties' lease makes a call more.
	StoreEra func() int64
	// Scaler connects autoscaling with something other than the holder of the duties. It is
	// optional.
	Scaler *ScalerSeams
}

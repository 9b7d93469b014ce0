package entry

import (
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/fleet"
	"gentianwell/core/table"
	"gentianwell/io/kvs"
	"gentianwell/io/peer"
	"gentianwell/io/proxy"
)

// The defaults of Config.
const (
	// defaultStopLimit is how long a planned stop may take where nobody says.
	defaultStopLimit = 8 * time.Second
	// defaultNotice is what a balancer needs that asks once a second and wants two
	// refusals, of which the second may come late.
	defaultNotice = 3 * time.Second
	// defaultRetryRatio and the next two are a careful budget where nobody says.
	defaultRetryRatio  = 0.1
	defaultRetrySlack  = 20
	defaultRetryWindow = 10 * time.Second
)

// Config is what a process is told at its start.
type Config struct {
	VM   call.VMID
	Zone call.Zone
	// CallerAddress and ReadinessAddress are where callers connect and where the balancer asks
	// whether this VM wants more of them.
	CallerAddress, ReadinessAddress netip.AddrPort
	// PeerAddress is where other entry VMs connect, on all VMs at the same port; not
	// valid: this VM does not talk to others.
	PeerAddress netip.AddrPort
	// MetricsAddress is where metrics are served; not valid: nowhere but at Ready.
	MetricsAddress netip.AddrPort
	// Seeds are the Peers addresses of a few VMs, which may be out of date.
	Seeds []netip.AddrPort
	// StoreAddress is the address of the platform's key-value store.
	StoreAddress netip.AddrPort
	// MemoryBytes is the memory that the process may use; zero where not told.
	MemoryBytes int64
	// StopLimit is the time between the signal to stop and the kill.
	StopLimit time.Duration
	// Notice is how long a VM that stops goes on taking requests.
	Notice time.Duration
	// RetryRatio is how many repeats all VMs together may send to a service for
	// each request, and RetrySlack how many more, in a RetryWindow.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}

// Defaults fills in the fields left zero.
func (c *Config) Defaults() {
	if c.StopLimit == 0 {
		c.StopLimit = defaultStopLimit
	}
	if c.Notice == 0 {
		c.Notice = defaultNotice
	}
	if c.RetryWindow == 0 {
		c.RetryRatio, c.RetrySlack, c.RetryWindow = defaultRetryRatio, defaultRetrySlack, defaultRetryWindow
	}
}

// Validate checks that nothing is missing without which a process cannot run.
//
// Errors: NotValid with the field.
func (c *Config) Validate() error {
	switch {
	case c.VM == "":
		return errors.NotValidf("no name of the VM")
	case !c.CallerAddress.IsValid() || !c.ReadinessAddress.IsValid() || !c.StoreAddress.IsValid():
		return errors.NotValidf("addresses: callers %s, ready %s, store %s", c.CallerAddress, c.ReadinessAddress, c.StoreAddress)
	case c.StopLimit < 0 || c.Notice < 0 || c.RetryRatio < 0 || c.RetrySlack < 0 || c.RetryWindow < 0:
		return errors.NotValidf("negative bound")
	}
	return nil
}

// Source is where the configuration and the list of replicas come from.
type Source struct {
	Store kvs.Service
	// ConfigKey holds the configuration, ReplicaPrefix begins the keys of the
	// replicas' entries.
	ConfigKey     string
	ReplicaPrefix string
	// ParseConfig and Record read what lies there.
	ParseConfig func(raw []byte) (table.Document, error)
	ParseReplica   func(kvs.Entry) fleet.Record
}

// Options are what a process is made of. All fields but Dial are required.
type Options struct {
	Config Config
	Source Source
	Headers   proxy.HeaderCodec
	Log    logrus.FieldLogger
	Now    func() time.Time
	// Seed seeds all random choices.
	Seed uint64
	// Dial opens the connections to peers and backend servers; nil dials TCP.
	Dial peer.DialFunc
}

package main

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"gentianwell/core/call"
	"gentianwell/io/node"
)

const serveHelp = `Runs the process of one entry VM until SIGTERM or SIGINT, which start a graceful
shutdown: the VM reports that it is not ready, then refuses new requests as not
run, and exits when all requests in progress have been answered. A second signal
ends it at once and aborts the requests in progress.

Start-up settings come from a JSON file, the environment and flags; later sources
override earlier ones. All invalid settings are reported at once, before anything
starts.

Examples:
   gentianwell serve --config /etc/gentianwell.json
   gentianwell serve --id e1 --zone sala --callers 127.0.0.1:8080 \
      --peers 127.0.0.1:8081 --operators 127.0.0.1:8082 --platform 127.0.0.1:2379`

func serveCommand() *cli.Command {
	stringFlag := func(name, env, usage string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Sources: cli.EnvVars(env)}
	}
	return &cli.Command{
		Name:        "serve",
		Usage:       "run one entry VM",
		Description: serveHelp,
		Flags: []cli.Flag{
			stringFlag("config", "GENTIANWELL_CONFIG", "start-up settings `FILE` in JSON"),
			stringFlag("id", "GENTIANWELL_ID", "this VM's `ID` in the platform's list"),
			stringFlag("zone", "GENTIANWELL_ZONE", "this VM's availability `ZONE`"),
			stringFlag("callers", "GENTIANWELL_CALLERS", "`ADDRESS` for callers"),
			stringFlag("peers", "GENTIANWELL_PEERS", "`ADDRESS` for other entry VMs"),
			stringFlag("operators", "GENTIANWELL_OPERATORS", "`ADDRESS` for operators and metrics"),
			&cli.StringSliceFlag{Name: "platform", Usage: "`ADDRESS` of the platform's key-value service", Sources: cli.EnvVars("GENTIANWELL_PLATFORM")},
			stringFlag("log-level", "GENTIANWELL_LOG_LEVEL", "minimum log `LEVEL`"),
			&cli.IntFlag{Name: "memory-mb", Usage: "`MEGABYTES` of memory that the process may use", Sources: cli.EnvVars("GENTIANWELL_MEMORY_MB")},
			&cli.IntFlag{Name: "max-fds", Usage: "`NUMBER` of descriptors that the process may use", Sources: cli.EnvVars("GENTIANWELL_MAX_FDS")},
			&cli.DurationFlag{Name: "notice", Usage: "`TIME` that a shutdown gives the load balancer to notice it", Sources: cli.EnvVars("GENTIANWELL_NOTICE")},
		},
		Action: serve,
	}
}

// serveGCPercent lets the heap grow more between collections than Go's default: the
// heap is small compared to the memory of a VM, and collections are a large part of
// the CPU time of an idle process. GOGC in the environment takes precedence.
const serveGCPercent = 400

func serve(ctx context.Context, cmd *cli.Command) error {
	config, err := serveConfig(cmd)
	if err != nil {
		return cli.Exit("gentianwell: start-up settings: "+errors.Cause(err).Error(), exitUsage)
	}
	n, err := node.New(node.Options{Config: config, Log: newLog(config.LogLevel), Now: time.Now, Seed: newSeed(), Build: buildFields()})
	if err != nil {
		return cli.Exit("gentianwell: start-up settings: "+errors.Cause(err).Error(), exitUsage)
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(serveGCPercent)
	}
	if config.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitRatio * float64(config.MemoryMB<<20)))
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go stopOnSignal(cancel, n)
	if err := n.Run(ctx); err != nil {
		return cli.Exit("gentianwell: "+err.Error(), exitFailed)
	}
	return nil
}

// stopOnSignal starts a graceful shutdown at the first signal and ends it at once at
// the second.
func stopOnSignal(cancel context.CancelFunc, n *node.Node) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	<-signals
	cancel()
	<-signals
	n.Stop()
}

func newLog(level string) *logrus.Logger {
	log := logrus.New()
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	// The level is valid: Config.Validate has checked it.
	if parsed, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(parsed)
	}
	return log
}

// newSeed returns a random seed, so that VMs and restarts have different ones.
func newSeed() uint64 {
	var b [8]byte
	// Read never fails; see its documentation.
	_, _ = crand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// serveConfig merges the configuration file, the environment and the flags.
func serveConfig(cmd *cli.Command) (node.Config, error) {
	var c node.Config
	if path := cmd.String("config"); path != "" {
		var err error
		if c, err = node.ReadConfig(path); err != nil {
			return node.Config{}, err
		}
	}
	var problems node.Problems
	setAddress := func(name string, field *netip.AddrPort) {
		text := cmd.String(name)
		if text == "" {
			return
		}
		parsed, err := netip.ParseAddrPort(text)
		if err != nil {
			problems = append(problems, fmt.Sprintf("%s: %q is not an address of the form IP:PORT: %v", name, text, err))
			return
		}
		*field = parsed
	}
	setAddress("callers", &c.Callers)
	setAddress("peers", &c.Peers)
	setAddress("operators", &c.Operators)
	if id := cmd.String("id"); id != "" {
		c.ID = call.VMID(id)
	}
	if zone := cmd.String("zone"); zone != "" {
		c.Zone = call.Zone(zone)
	}
	if level := cmd.String("log-level"); level != "" {
		c.LogLevel = level
	}
	if notice := cmd.Duration("notice"); notice != 0 {
		c.Notice = node.Duration(notice)
	}
	if memory := cmd.Int("memory-mb"); memory != 0 {
		c.MemoryMB = memory
	}
	if fds := cmd.Int("max-fds"); fds != 0 {
		c.MaxFds = fds
	}
	if addresses := cmd.StringSlice("platform"); len(addresses) > 0 {
		c.Platform = nil
		for _, text := range addresses {
			parsed, err := netip.ParseAddrPort(text)
			if err != nil {
				problems = append(problems, fmt.Sprintf("platform: %q is not an address of the form IP:PORT: %v", text, err))
				continue
			}
			c.Platform = append(c.Platform, parsed)
		}
	}
	c.Defaults()
	if err := c.Validate(); err != nil {
		problems = append(problems, err.Error())
	}
	if len(problems) > 0 {
		return node.Config{}, problems
	}
	return c, nil
}

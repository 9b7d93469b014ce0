package main

import (
	"bytes"
	"context"
	"net/netip"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"gentianwell/core/timer"
	"gentianwell/io/dial"
	"gentianwell/io/entry"
	"gentianwell/io/logw"
	"gentianwell/platform"
)

const entryHelp = `Runs the process of one entry VM on a platform that provides the configuration and
the list of replicas through its store. Requests are forwarded unchanged.

SIGTERM starts a graceful shutdown: the VM reports that it is not ready, accepts
requests until the load balancer has noticed, and exits when all requests in
progress have been answered. SIGHUP reloads the settings file; a changed file is
also detected without the signal.

Example:
   gentianwell entry --settings /etc/gentianwell/node.conf --metrics-port 9464`

const (
	// settingsPollInterval is the interval between checks of the settings file.
	settingsPollInterval = 2 * time.Second
	// entryGCPercent is the GOGC value: the heap may grow by its own size between
	// collections. The heap of an entry VM is small, and its peak size is a cost.
	entryGCPercent = 100
	// softMemoryLimitRatio is the soft memory limit as a fraction of the process's
	// memory. Near that limit the garbage collector runs more often.
	softMemoryLimitRatio = 0.7
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "run one entry VM on a platform with a store",
		Description: entryHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "the platform's settings `FILE`", Required: true,
				Sources: cli.EnvVars(platform.SettingsEnv),
			},
			&cli.Uint16Flag{Name: "metrics-port", Usage: "`PORT` for metrics on the callers' address, in addition to the readiness port"},
			&cli.BoolFlag{Name: "team-shares", Usage: "divide the capacity of a service between the teams while it is short"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "minimum log `LEVEL`", Sources: cli.EnvVars("GENTIANWELL_LOG_LEVEL")},
		},
		Action: runEntry,
	}
}

func runEntry(_ context.Context, cmd *cli.Command) error {
	// These come first so that a signal during the start leads to a graceful shutdown or a
	// reload, and does not end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	stop, _ := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	raw, config, err := readSettings(cmd)
	if err != nil {
		return cli.Exit("gentianwell: settings: "+err.Error(), exitUsage)
	}
	level, err := logrus.ParseLevel(cmd.String("log-level"))
	if err != nil {
		return cli.Exit("gentianwell: "+err.Error(), exitUsage)
	}
	if config.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(softMemoryLimitRatio * float64(config.MemoryBytes)))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(entryGCPercent)
	}
	logWriter := logw.New(logw.Config{Output: os.Stdout})
	log := logrus.New()
	log.SetOutput(logWriter)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	store := platform.NewStore(platform.StoreConfig{Address: config.StoreAddress, History: config.StoreHistory, Dial: dial.TCP(dial.Config{}), Log: log})
	cloud := platform.NewCloud(platform.CloudConfig{Address: config.Cloud.Address, Dial: dial.TCP(dial.Config{})})
	e, err := entry.New(entry.Options{
		Cloud: cloud.API(), StoreEra: store.Era,
		Config: config, Source: platform.Source(store.Service()), Headers: platform.Wire(), Log: log,
		Now: time.Now, Seed: newSeed(), Build: buildFields(),
	})
	if err != nil {
		return cli.Exit("gentianwell: settings: "+err.Error(), exitUsage)
	}
	if err := runEntryProcess(stop, e, logWriter, &settingsReloader{cmd: cmd, hangups: hangups, lastRead: raw, entry: e, log: log}); err != nil {
		return cli.Exit("gentianwell: "+err.Error(), exitFailed)
	}
	return nil
}

// runEntryProcess runs the entry VM, its log writer and the reload of its settings
// file.
func runEntryProcess(stop context.Context, e *entry.Entry, logWriter *logw.Writer, reloader *settingsReloader) error {
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan error, 1)
	go func() { logDone <- logWriter.Run(logCtx) }()
	reloadCtx, cancel := context.WithCancel(context.Background())
	timers := timer.New(timer.Config{Now: time.Now})
	timers.Every("settings", settingsPollInterval, func(time.Time) { reloader.reloadIfChanged() })
	var g run.Group
	g.Add(func() error { return e.Run(stop) }, func(error) {})
	g.Add(func() error { return timers.Run(reloadCtx) }, func(error) { cancel() })
	g.Add(func() error { return reloader.reloadOnSIGHUP(reloadCtx) }, func(error) { cancel() })
	err := g.Run()
	stopLog()
	if logErr := <-logDone; err == nil {
		err = logErr
	}
	return errors.Annotate(err, "entry")
}

// settingsReloader reloads the settings file when it changes.
type settingsReloader struct {
	cmd *cli.Command
	// hangups receives each SIGHUP.
	hangups <-chan os.Signal
	entry   *entry.Entry
	log     logrus.FieldLogger

	mu sync.Mutex
	// lastRead is the content of the file when it was last read and could be
	// parsed.
	lastRead []byte
}

// reloadIfChanged reads the file and applies it if its content has changed.
func (r *settingsReloader) reloadIfChanged() {
	r.mu.Lock()
	defer r.mu.Unlock()
	raw, config, err := readSettings(r.cmd)
	if err == nil {
		if bytes.Equal(raw, r.lastRead) {
			return
		}
		r.lastRead = raw
		err = r.entry.Reload(config)
	}
	if err != nil {
		r.log.WithField("event", "reload").WithError(err).Error("settings not reloaded; the previous settings stay in force")
	}
}

// reloadOnSIGHUP reloads the file, if it has changed, at each SIGHUP until ctx ends.
func (r *settingsReloader) reloadOnSIGHUP(ctx context.Context) error {
	for {
		select {
		case <-r.hangups:
			r.log.WithField("event", "reload").Info("received SIGHUP; reading the settings file")
			r.reloadIfChanged()
		case <-ctx.Done():
			return nil
		}
	}
}

func readSettings(cmd *cli.Command) ([]byte, entry.Config, error) {
	raw, err := os.ReadFile(cmd.String("settings"))
	if err != nil {
		return nil, entry.Config{}, errors.Annotate(err, "reading the settings file")
	}
	config, err := platform.ParseSettings(raw)
	if err != nil {
		return nil, entry.Config{}, errors.Trace(err)
	}
	if port := cmd.Uint16("metrics-port"); port != 0 {
		config.MetricsAddress = netip.AddrPortFrom(config.CallerAddress.Addr(), port)
	}
	config.TeamShares = cmd.Bool("team-shares")
	return raw, config, nil
}

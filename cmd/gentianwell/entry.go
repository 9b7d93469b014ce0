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

const entryHelp = `Runs the process of one entry VM on a platform that hands out the configuration
and the list of replicas through its store. Requests are passed on unchanged.

SIGTERM begins a planned stop: the VM says that it is not ready, goes on until
the balancer has noticed, and ends when every request in progress has its answer.
SIGHUP reads the settings file again; a change without a signal is noticed too.

Example:
   gentianwell entry --settings /etc/gentianwell/node.conf --metrics-port 9464`

const (
	// settingsPoll is how often the settings file is looked at.
	settingsPoll = 2 * time.Second
	// entryGC lets the heap grow by its own size between collections: the heap of
	// an entry VM is small, and its peak is paid for.
	entryGC = 100
	// memoryPart is the part of the process's memory from which on the collector
	// works harder.
	memoryPart = 0.7
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:        "entry",
		Usage:       "run one entry VM on a platform with a store",
		Description: entryHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Usage: "settings `FILE` of the platform", Required: true,
				Sources: cli.EnvVars(platform.SettingsEnv),
			},
			&cli.Uint16Flag{Name: "metrics-port", Usage: "`PORT` for metrics on the callers' address, besides the readiness port"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "least `LEVEL` that is logged", Sources: cli.EnvVars("GENTIANWELL_LOG_LEVEL")},
		},
		Action: runEntry,
	}
}

func runEntry(_ context.Context, cmd *cli.Command) error {
	// First, so that a stop that comes while the process starts is one as planned.
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
		debug.SetMemoryLimit(int64(memoryPart * float64(config.MemoryBytes)))
	}
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(entryGC)
	}
	out := logw.New(logw.Config{Output: os.Stdout})
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(level)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	open := dial.TCP(dial.Config{})
	store := platform.NewStore(platform.StoreConfig{Address: config.StoreAddress, Dial: open})
	e, err := entry.New(entry.Options{
		Config: config, Source: platform.Source(store.Service()), Headers: platform.Wire(), Log: log,
		Now: time.Now, Seed: newSeed(), Dial: open,
	})
	if err != nil {
		return cli.Exit("gentianwell: settings: "+err.Error(), exitUsage)
	}
	if err := runWithSignals(stop, e, out, &settingsFile{cmd: cmd, raw: raw, entry: e, log: log}); err != nil {
		return cli.Exit("gentianwell: "+err.Error(), exitFailed)
	}
	return nil
}

// runWithSignals runs the process, its log and the watch over its settings file.
func runWithSignals(stop context.Context, e *entry.Entry, out *logw.Writer, file *settingsFile) error {
	logCtx, endLog := context.WithCancel(context.Background())
	written := make(chan error, 1)
	go func() { written <- out.Run(logCtx) }()
	partCtx, cancel := context.WithCancel(context.Background())
	timers := timer.New(timer.Config{Now: time.Now})
	timers.Every("settings", settingsPoll, func(time.Time) { file.check() })
	var g run.Group
	g.Add(func() error { return e.Run(stop) }, func(error) {})
	g.Add(func() error { return timers.Run(partCtx) }, func(error) { cancel() })
	g.Add(func() error { return file.onSignal(partCtx) }, func(error) { cancel() })
	err := g.Run()
	endLog()
	if logErr := <-written; err == nil {
		err = logErr
	}
	return errors.Annotate(err, "entry")
}

// settingsFile is the settings file as it was last read.
type settingsFile struct {
	cmd   *cli.Command
	entry *entry.Entry
	log   logrus.FieldLogger

	mu  sync.Mutex
	raw []byte
}

// check reads the file and puts a change in force.
func (f *settingsFile) check() {
	f.mu.Lock()
	defer f.mu.Unlock()
	raw, config, err := readSettings(f.cmd)
	if err == nil {
		if bytes.Equal(raw, f.raw) {
			return
		}
		f.raw = raw
		err = f.entry.Reload(config)
	}
	if err != nil {
		f.log.WithField("event", "reload").WithError(err).Error("settings not reloaded, the old ones stay in force")
	}
}

// onSignal checks the file at each SIGHUP.
func (f *settingsFile) onSignal(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	for {
		select {
		case <-signals:
			f.log.WithField("event", "reload").Info("signal to read the settings again")
			f.check()
		case <-ctx.Done():
			return nil
		}
	}
}

func readSettings(cmd *cli.Command) ([]byte, entry.Config, error) {
	raw, err := os.ReadFile(cmd.String("settings"))
	if err != nil {
		return nil, entry.Config{}, errors.Annotate(err, "reading the settings")
	}
	config, err := platform.ParseSettings(raw)
	if err != nil {
		return nil, entry.Config{}, errors.Trace(err)
	}
	if port := cmd.Uint16("metrics-port"); port != 0 {
		config.MetricsAddress = netip.AddrPortFrom(config.CallerAddress.Addr(), port)
	}
	return raw, config, nil
}

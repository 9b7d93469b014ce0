// Package site runs a complete small site in one process for tests: a fake platform, fake
// engines and payment services, and entry VMs, all on loopback.
//
// # Usage
//
//	s := site.New(t, site.Config{Entries: 3, Engines: 3, Services: 1})
//	resp := s.Post(t, 0, "/v1/chat/completions", body, nil)
//	s.Engines[0].Inject(fakes.Fault{…})
//
// Everything is stopped at the end of the test.
package site

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
	"gentianwell/core/member"
	"gentianwell/core/place"
	"gentianwell/core/tree"
	"gentianwell/io/conf"
	"gentianwell/io/fakekv"
	"gentianwell/io/fakes"
	"gentianwell/io/node"
	"gentianwell/io/peer"
)

// The API keys of the team and of the operator of the site.
const (
	TeamKey     = "team-key"
	OperatorKey = "operator-key"
)

// startTimeout limits the wait until the site is ready, and until an entry VM has ended.
const startTimeout = 15 * time.Second

// Config configures a site. Entry VMs, engines and services are each assigned to the
// zones z0, z1 and z2 in turn.
type Config struct {
	Entries  int
	Engines  int
	Services int
	// Engine and Ledger, if not nil, change the configuration of each engine and service.
	Engine func(*fakes.EngineConfig)
	Ledger func(*fakes.LedgerConfig)
	// Edits are settings in addition to the default ones of the site.
	Edits tree.Edits
	// Address returns the address that the platform lists for a backend server in place
	// of its real one, such as that of a relay.
	Address func(id call.VMID, address netip.AddrPort) netip.AddrPort
	// Dial returns the function by which an entry VM opens connections; see Partition.
	Dial func(from call.VMID) peer.DialFunc
	// Notice is how long an entry VM still accepts requests in a planned stop, so that the
	// load balancer notices that it is not ready. The minimum is 50 ms.
	Notice time.Duration
	// Placement configures the placement of models on engines.
	Placement place.Config
}

// Entry is one entry VM.
type Entry struct {
	ID            call.VMID
	Node          *node.Node
	CallerAddress netip.AddrPort
	PeerAddress   netip.AddrPort
	// Log holds the log entries since the last start.
	Log    *logtest.Hook
	config node.Config
	cancel context.CancelFunc
	done   chan error
}

// Site is a running site.
type Site struct {
	c        Config
	Platform *fakekv.Fake
	Engines  []*fakes.Engine
	Ledgers  []*fakes.Ledger
	Entries  []*Entry
	// Servers are the HTTP servers of the platform, the engines and the services, in this
	// order.
	Servers  []*httptest.Server
	platform netip.AddrPort
}

// New starts a site and waits until it is ready. Everything is stopped at the end of the
// test.
func New(t testing.TB, c Config) *Site {
	t.Helper()
	s := &Site{c: c, Platform: fakekv.New(fakekv.Config{})}
	s.platform = s.serve(t, s.Platform.Handler())
	for i := range c.Engines {
		s.addEngine(t, i)
	}
	for i := range c.Services {
		s.addLedger(t, i)
	}
	for i := range c.Entries {
		s.addEntry(t, i)
	}
	s.putSettings(t)
	for i := range c.Entries {
		s.Start(t, i)
	}
	s.WaitReady(t)
	return s
}

func zone(i int) call.Zone { return call.Zone(fmt.Sprintf("z%d", i%3)) }

func (s *Site) serve(t testing.TB, h http.Handler) netip.AddrPort {
	srv := httptest.NewServer(h)
	t.Cleanup(srv.CloseClientConnections)
	s.Servers = append(s.Servers, srv)
	return netip.MustParseAddrPort(srv.Listener.Addr().String())
}

func (s *Site) addEngine(t testing.TB, i int) {
	id := fmt.Sprintf("m%d", i)
	c := fakes.EngineConfig{ID: id, Models: []string{"drafts"}, TokenGap: time.Millisecond}
	if s.c.Engine != nil {
		s.c.Engine(&c)
	}
	engine, err := fakes.NewEngine(c)
	assert.NilError(t, err)
	s.Engines = append(s.Engines, engine)
	var models []call.Model
	for _, m := range c.Models {
		models = append(models, call.Model(m))
	}
	s.register(t, member.VM{
		ID: call.VMID(id), Zone: zone(i), Role: member.RoleEngine,
		Address: s.serve(t, engine.Handler()), Models: models, State: member.StateLive, ChecksOrders: c.CheckFencing,
	})
}

func (s *Site) addLedger(t testing.TB, i int) {
	id := fmt.Sprintf("l%d", i)
	c := fakes.LedgerConfig{ID: id}
	if s.c.Ledger != nil {
		s.c.Ledger(&c)
	}
	ledger, err := fakes.NewLedger(c)
	assert.NilError(t, err)
	s.Ledgers = append(s.Ledgers, ledger)
	s.register(t, member.VM{
		ID: call.VMID(id), Zone: zone(i), Role: member.RoleService,
		Address: s.serve(t, ledger.Handler()), Models: []call.Model{"ledger"}, State: member.StateLive,
	})
}

// register stores a VM in the list of the platform, with the address that Config.Address
// returns for a backend server.
func (s *Site) register(t testing.TB, vm member.VM) {
	if s.c.Address != nil && vm.Role != member.RoleEntry {
		vm.Address = s.c.Address(vm.ID, vm.Address)
	}
	s.PutVM(t, vm)
}

// PutVM stores a VM in the list of the platform, unchanged.
func (s *Site) PutVM(t testing.TB, vm member.VM) {
	value, err := json.Marshal(vm)
	assert.NilError(t, err)
	s.Platform.Put(member.ListPrefix+string(vm.ID), value)
}

func (s *Site) addEntry(t testing.TB, i int) {
	id := call.VMID(fmt.Sprintf("e%d", i))
	e := &Entry{ID: id, CallerAddress: freeAddress(t), PeerAddress: freeAddress(t)}
	e.config = node.Config{
		ID: id, Zone: zone(i), Callers: e.CallerAddress, Peers: e.PeerAddress, Operators: freeAddress(t),
		Platform: []netip.AddrPort{s.platform}, OperatorKeyHashes: []string{tree.HashKey(OperatorKey)},
		Notice: node.Duration(max(s.c.Notice, 50*time.Millisecond)),
	}
	s.Entries = append(s.Entries, e)
	s.register(t, member.VM{
		ID: id, Zone: zone(i), Role: member.RoleEntry, Address: e.CallerAddress, PeerAddress: e.PeerAddress, State: member.StateLive,
	})
}

// putSettings stores the default settings of the site and Config.Edits.
func (s *Site) putSettings(t testing.TB) {
	s.ChangeSettings(t, append(tree.Edits{
		{Path: "classes.plot", Value: json.RawMessage(`{"tier":0}`)},
		{Path: "classes.summary", Value: json.RawMessage(`{"tier":5}`)},
		{Path: "site.defaultClass", Value: json.RawMessage(`"summary"`)},
		{Path: "teams.judges", Value: json.RawMessage(`{"keyHashes":["` + tree.HashKey(TeamKey) + `"]}`)},
		{Path: "models.drafts", Value: json.RawMessage(`{}`)},
		{Path: "services.ledger", Value: json.RawMessage(`{"pathPrefix":"/ledger/"}`)},
	}, s.c.Edits...))
}

// ChangeSettings changes the settings on the platform directly, without an entry VM.
func (s *Site) ChangeSettings(t testing.TB, edits tree.Edits) {
	store, err := conf.NewStore(conf.StoreConfig{Service: s.Platform.Service(), Now: time.Now})
	assert.NilError(t, err)
	_, err = store.Change(context.Background(), conf.Change{Author: "test", Edits: edits}, tree.Head{})
	assert.NilError(t, err)
}

// Start starts an entry VM. It can be called again after Stop or Kill.
func (s *Site) Start(t testing.TB, i int) {
	e := s.Entries[i]
	log, hook := logtest.NewNullLogger()
	log.SetLevel(logrus.DebugLevel)
	e.Log = hook
	var dial peer.DialFunc
	if s.c.Dial != nil {
		dial = s.c.Dial(e.ID)
	}
	n, err := node.New(node.Options{Config: e.config, Log: log, Now: time.Now, Seed: gwtest.Seed() + uint64(i), Dial: dial, Placement: s.c.Placement})
	assert.NilError(t, err)
	e.Node = n
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	e.cancel, e.done = cancel, done
	go func() { done <- n.Run(ctx) }()
	t.Cleanup(func() { s.Kill(t, i) })
}

// Stop begins a planned stop of an entry VM. The result of its Run is sent to the channel.
func (s *Site) Stop(i int) <-chan error {
	s.Entries[i].cancel()
	return s.Entries[i].done
}

// Kill stops an entry VM immediately and aborts its requests in progress.
func (s *Site) Kill(t testing.TB, i int) {
	e := s.Entries[i]
	if e.cancel == nil {
		return
	}
	e.Node.Stop()
	e.cancel()
	e.cancel = nil
	select {
	case err := <-e.done:
		assert.Check(t, err)
	case <-time.After(startTimeout):
		t.Errorf("entry VM %s has not ended after %v", e.ID, startTimeout)
	}
}

// WaitReady waits until every entry VM is ready and knows all backend servers.
func (s *Site) WaitReady(t testing.TB) {
	t.Helper()
	want := s.c.Engines + s.c.Services
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, e := range s.Entries {
			if st := e.Node.Status(); !st.Ready || st.Replicas < want {
				return poll.Continue("%s: ready %t, %d of %d replicas", e.ID, st.Ready, st.Replicas, want)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(10*time.Millisecond))
}

// Post sends a POST request with TeamKey to an entry VM.
func (s *Site) Post(t testing.TB, i int, path, body string, header map[string]string) *http.Response {
	t.Helper()
	resp, err := s.Send(context.Background(), i, http.MethodPost, path, body, header)
	assert.NilError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	return resp
}

// Send sends a request with TeamKey to an entry VM.
func (s *Site) Send(ctx context.Context, i int, method, path, body string, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+s.Entries[i].CallerAddress.String()+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+TeamKey)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	return http.DefaultClient.Do(req)
}

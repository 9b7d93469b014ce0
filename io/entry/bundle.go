package entry

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/io/kvs"
	"gentianwell/io/mirror"
	"gentianwell/io/peer"
	"gentianwell/io/peerpb"
)

// bundle is what a VM that cannot read the store gets from another VM: the
// configuration and the entries of all replicas, as stored.
type bundle struct {
	Configuration []byte        `json:"configuration"`
	Replicas      []bundleEntry `json:"replicas"`
	// Complete is true if the entries are the whole list.
	Complete bool `json:"listed"`
}

type bundleEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
}

// serveBundle returns this VM's bundle if its configuration is newer than the version
// have.
func (e *Entry) serveBundle(_ context.Context, have int64) (int64, []byte, error) {
	version := e.tables.version()
	if version <= have {
		return version, nil, nil
	}
	b := bundle{Configuration: e.tables.bytes(), Complete: e.replicas.hasList()}
	for _, entry := range e.replicas.entries() {
		b.Replicas = append(b.Replicas, bundleEntry{Key: entry.Key, Value: entry.Value, Revision: int64(entry.ModRevision)})
	}
	raw, err := json.Marshal(b)
	return version, raw, errors.Annotate(err, "Entry.serveBundle")
}

// fetchNewer starts to fetch the bundle of a VM that has a newer configuration.
func (e *Entry) fetchNewer(vm call.VMID, version int64, message peer.MessageKind) {
	e.hearing.told(e.options.Now(), vm, version, message)
	for _, p := range e.members.peers() {
		if p.ID == vm {
			e.bundles.offer(p, func() bool { return e.tables.version() < version })
			return
		}
	}
	e.log.WithFields(logrus.Fields{"event": "behind", "peer": vm, "version": version}).Debug("address of the VM with a newer configuration is not known yet")
}

// fetchBundle fetches the bundle of a peer and adopts it. A process that is not ready needs the
// replicas even if it has the configuration.
func (e *Entry) fetchBundle(ctx context.Context, from peer.Peer) error {
	have := e.tables.version()
	if !e.Ready() {
		have = noVersion
	}
	var raw []byte
	if err := e.pool.Call(ctx, from.Address, settingsCall(have, &raw)); err != nil || len(raw) == 0 {
		return errors.Trace(err)
	}
	return e.adopt(from.ID, raw)
}

// heardConfiguration notices that another VM has told of a version of the configuration.
func (e *Entry) heardConfiguration(version int64) {
	if m := e.probe.mirror(e.options.Source.ConfigKey); m != nil {
		e.watchChecks.heard(m, func(*mirror.Mirror) bool { return e.tables.stored.Load() >= version })
	}
}

// heardReplicas notices that another VM has told of a change of the replicas, with its revision.
func (e *Entry) heardReplicas(revision kvs.Revision) {
	if m := e.probe.mirror(e.options.Source.ReplicaPrefix); m != nil && revision != 0 {
		e.watchChecks.heard(m, func(m *mirror.Mirror) bool { return m.Delivered() >= revision })
	}
}

// adopt applies a bundle of another VM.
func (e *Entry) adopt(vm call.VMID, raw []byte) error {
	var b bundle
	if err := json.Unmarshal(raw, &b); err != nil {
		return errors.Annotatef(err, "bundle of VM %q", vm)
	}
	e.hearing.answered(pathFetch)
	version := e.tables.adopt(b.Configuration, "peer "+string(vm))
	e.heardConfiguration(version)
	entries := make([]kvs.Entry, 0, len(b.Replicas))
	for _, entry := range b.Replicas {
		entries = append(entries, kvs.Entry{Key: entry.Key, Value: entry.Value, ModRevision: kvs.Revision(entry.Revision)})
	}
	e.replicas.applyEntries(entries, "peer "+string(vm))
	if b.Complete {
		e.replicas.markListed()
	}
	return nil
}

// settingsCall returns the call that requests a peer's bundle and stores it in to.
func settingsCall(have int64, to *[]byte) func(context.Context, peerpb.DRPCPeerClient) error {
	return func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := client.Settings(ctx, &peerpb.SettingsRequest{HaveVersion: have})
		if err != nil {
			return errors.Trace(err)
		}
		*to = reply.Tree
		return nil
	}
}

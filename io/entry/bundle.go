package entry

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/io/kvs"
	"gentianwell/io/peerpb"
)

// bundle is what a VM that cannot read the store gets from another: the
// configuration and all entries of replicas, as they lie in the store.
type bundle struct {
	Configuration []byte        `json:"configuration"`
	Replicas      []bundleEntry `json:"replicas"`
	// Listed is true where the entries are the whole list.
	Listed bool `json:"listed"`
}

type bundleEntry struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
}

// answer returns this VM's bundle to a VM that has an older configuration.
func (e *Entry) answer(_ context.Context, have int64) (int64, []byte, error) {
	version := e.tables.Current().Version()
	if version <= have {
		return version, nil, nil
	}
	b := bundle{Configuration: e.tables.bytes(), Listed: e.replicas.known()}
	for _, one := range e.replicas.entries() {
		b.Replicas = append(b.Replicas, bundleEntry{Key: one.Key, Value: one.Value, Revision: int64(one.ModRevision)})
	}
	raw, err := json.Marshal(b)
	return version, raw, errors.Annotate(err, "Entry.answer")
}

// behind fetches the bundle of a VM that has a newer configuration.
func (e *Entry) behind(vm call.VMID, version int64) {
	for _, p := range e.members.peers() {
		if p.ID == vm {
			go e.fetch(p.ID, p.Address, e.tables.Current().Version())
			return
		}
	}
	e.log.WithFields(logrus.Fields{"event": "behind", "peer": vm, "version": version}).Debug("newer VM is not known yet")
}

func (e *Entry) adopt(vm call.VMID, raw []byte) error {
	var b bundle
	if err := json.Unmarshal(raw, &b); err != nil {
		return errors.Annotatef(err, "bundle of VM %q", vm)
	}
	e.tables.adopt(b.Configuration, "peer "+string(vm))
	entries := make([]kvs.Entry, 0, len(b.Replicas))
	for _, one := range b.Replicas {
		entries = append(entries, kvs.Entry{Key: one.Key, Value: one.Value, ModRevision: kvs.Revision(one.Revision)})
	}
	e.replicas.take(entries, "peer "+string(vm))
	if b.Listed {
		e.replicas.adopted()
	}
	return nil
}

// settingsCall asks a peer for its bundle.
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

package conf

import (
	"context"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/tree"
)

// ReportPeerVersion tells the follower the settings version of another entry VM. The
// follower fetches that VM's document if the version is newer. A report is dropped
// while too many fetches are waiting.
func (f *Follower) ReportPeerVersion(vm call.VMID, version int64) {
	if version <= f.newestHead().Version {
		return
	}
	select {
	case f.newerPeers <- vm:
	default:
	}
}

// NewerDocument returns the version in force and, if it is above the version that
// the requesting VM has, the document in JSON.
func (f *Follower) NewerDocument(_ context.Context, have int64) (int64, []byte, error) {
	current := f.Current()
	if current.Version <= have {
		return current.Version, nil, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.encoded.ref != current.ChangeRef {
		raw, err := current.Encode()
		if err != nil {
			return 0, nil, errors.Annotate(err, "Follower.NewerDocument")
		}
		f.encoded = encodedDocument{ref: current.ChangeRef, raw: raw}
	}
	return current.Version, f.encoded.raw, nil
}

// peerLoop fetches the documents of VMs that have reported a newer version.
func (f *Follower) peerLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-f.newerPeers:
			if err := f.fetch(ctx, vm); err != nil {
				f.c.Log.WithFields(logrus.Fields{"event": "settingsFetch", "peer": vm}).WithError(err).Warn("settings fetch failed")
			}
		}
	}
}

func (f *Follower) fetch(ctx context.Context, vm call.VMID) error {
	ctx, cancel := context.WithTimeout(ctx, f.c.ReadTimeout)
	defer cancel()
	raw, err := f.c.Fetch(ctx, vm, f.newestHead().Version)
	if err != nil {
		return errors.Annotate(err, "Follower.fetch")
	}
	if len(raw) == 0 {
		return nil
	}
	document, err := tree.ParseDocument(raw)
	if err != nil {
		return errors.Annotate(err, "Follower.fetch")
	}
	if f.adoptIfNewer(document, "peer "+string(vm)) == tree.RelationDiverged {
		notify(f.pollRequests)
	}
	return nil
}

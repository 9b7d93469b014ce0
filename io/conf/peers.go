package conf

import (
	"context"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/tree"
)

// ReportPeerVersion tells the follower that another entry VM has a newer version.
func (f *Follower) ReportPeerVersion(vm call.VMID, version int64) {
	if version <= f.known().Version {
		return
	}
	select {
	case f.hints <- vm:
	default:
	}
}

// NewerDocument gives another entry VM the document in JSON if its version is above
// the one that the asking VM has.
func (f *Follower) NewerDocument(_ context.Context, have int64) (int64, []byte, error) {
	current := f.Current()
	if current.Version <= have {
		return current.Version, nil, nil
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.encoded.mark != current.ChangeRef {
		raw, err := current.Encode()
		if err != nil {
			return 0, nil, errors.Annotate(err, "Follower.Answer")
		}
		f.encoded = encoded{mark: current.ChangeRef, raw: raw}
	}
	return current.Version, f.encoded.raw, nil
}

// peerLoop fetches documents from VMs that have newer ones.
func (f *Follower) peerLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case vm := <-f.hints:
			if err := f.fetch(ctx, vm); err != nil {
				f.c.Log.WithFields(logrus.Fields{"event": "settingsFetch", "peer": vm}).WithError(err).Warn("settings fetch failed")
			}
		}
	}
}

func (f *Follower) fetch(ctx context.Context, vm call.VMID) error {
	ctx, cancel := context.WithTimeout(ctx, f.c.ReadTimeout)
	defer cancel()
	raw, err := f.c.Fetch(ctx, vm, f.known().Version)
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
	if f.consider(document, "peer "+string(vm)) == tree.RelationDiverged {
		notify(f.polls)
	}
	return nil
}

package node

import (
	"context"
	crand "crypto/rand"
	"encoding/json"
	"net/http"
	"slices"
	"strings"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/member"
	"gentianwell/core/place"
	"gentianwell/core/tree"
	"gentianwell/io/back"
	"gentianwell/io/placer"
)

// modelMegabytes is the assumed size of every model and adapter, since neither the
// settings nor the platform's list give sizes. It limits the load on the weight
// store.
const modelMegabytes = 20_000

// orderPath is the path at which engines accept orders.
const orderPath = "/orders"

// wireOrder is an order in JSON.
type wireOrder struct {
	Fencing int64        `json:"fencing"`
	Model   string       `json:"model"`
	Action  place.Action `json:"action"`
}

// placement gives the placer its view of the site and sends the placer's orders to
// the engines.
type placement struct {
	snapshot func() *tree.Snapshot
	fleet    *fleet
	do       func(context.Context, back.Target, back.Request, func(back.Event) error) (back.Result, error)
	loaded   *loadedModels
}

func (n *Node) makePlacer(o Options) error {
	p := &placement{snapshot: n.snapshot, fleet: n.fleet, do: n.client.Do}
	p.loaded = &loadedModels{now: n.now, do: n.client.Do, reports: map[call.ReplicaID]modelReport{}}
	n.placer = placer.New(placer.Config{
		Service: n.kvs, VM: n.c.ID, Nonce: crand.Text, Now: n.now, Every: n.timers.Every,
		Planner: o.Placement, Needs: p.needs, Replicas: p.replicas, SendOrder: p.order, Log: n.log,
	})
	return nil
}

// needs returns the models and adapters that the settings say to keep loaded. A
// model's first version is the model itself; each further version is a separate
// model with a name such as "model@version".
func (p *placement) needs() place.Needs {
	s := p.snapshot()
	if s == nil {
		return nil
	}
	var needs place.Needs
	for name, model := range s.Tree.Models {
		needs = append(needs, modelNeeds(name, model)...)
	}
	slices.SortFunc(needs, func(a, b place.Need) int { return strings.Compare(string(a.Model), string(b.Model)) })
	return needs
}

func modelNeeds(name call.Model, m tree.Model) place.Needs {
	need := place.Need{
		Artifact: place.Artifact{Model: name}, Tier: call.MaxTier,
		Copies: max(1, m.MinReplicas), MinCopies: m.MinReplicas, Megabytes: modelMegabytes,
	}
	if m.Urgent {
		need.Tier, need.MinCopies = 0, max(1, m.MinReplicas)
	}
	if len(m.Versions) > 0 {
		need.Version = m.Versions[0]
	}
	needs := place.Needs{need}
	for _, version := range m.Versions[min(1, len(m.Versions)):] {
		other := need
		other.Artifact = place.Artifact{Model: call.Model(place.Artifact{Model: name, Version: version}.String())}
		needs = append(needs, other)
	}
	for _, adapter := range m.Adapters {
		other := need
		other.Artifact, other.Base = place.Artifact{Model: call.Model(adapter)}, name
		needs = append(needs, other)
	}
	return needs
}

// parseArtifact parses the name of a model or adapter that an engine has loaded. A
// name that is needed as a whole is not split at "@", since a further version of a
// model is a separate model (see needs).
func parseArtifact(name string, needs place.Needs) place.Artifact {
	unversioned := place.Artifact{Model: call.Model(name)}
	for _, need := range needs {
		if need.Model == unversioned.Model {
			return unversioned
		}
	}
	if at := strings.LastIndex(name, "@"); at > 0 {
		return place.Artifact{Model: call.Model(name[:at]), Version: name[at+1:]}
	}
	return unversioned
}

// replicas returns the engines whose loaded models are known. An engine has a slot
// for each model that the platform's list names for it, as it has room for all of
// them together, and at least one.
func (p *placement) replicas() place.Replicas {
	needs := p.needs()
	p.loaded.refresh(p.fleet.engines())
	var out place.Replicas
	for _, vm := range p.fleet.engines() {
		report, ok := p.loaded.get(call.ReplicaID(vm.ID))
		if !ok {
			continue
		}
		r := place.Replica{
			ID: call.ReplicaID(vm.ID), Zone: vm.Zone, Models: vm.Models, Slots: max(1, len(vm.Models)),
			Reported: report.requestedAt, ChecksOrders: vm.ChecksOrders, Leaving: vm.State == member.StateLeaving,
		}
		for _, name := range report.names {
			r.Loaded = append(r.Loaded, parseArtifact(name, needs))
		}
		out = append(out, r)
	}
	return out
}

// order sends an order to an engine.
//
// Errors: placer.ErrNotSent, placer.ErrRefused; after others the engine may have
// accepted the order.
func (p *placement) order(ctx context.Context, o placer.Order) error {
	target, ok := p.fleet.target(o.Replica)
	if !ok {
		return errors.Annotatef(placer.ErrNotSent, "replica %s is no longer listed", o.Replica)
	}
	body, err := json.Marshal(wireOrder{o.FencingToken, o.Artifact.String(), o.Action})
	if err != nil {
		return errors.WithType(err, placer.ErrNotSent)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	req := back.Request{Method: http.MethodPost, Path: orderPath, Header: header, Body: body, NewConnection: true}
	result, err := p.do(ctx, target, req, nil)
	switch {
	case !result.BytesWritten:
		return errors.Annotatef(placer.ErrNotSent, "replica %s: %v", o.Replica, err)
	case result.Status == http.StatusConflict:
		return errors.Annotatef(placer.ErrRefused, "replica %s", o.Replica)
	case err != nil:
		return errors.Annotatef(err, "replica %s", o.Replica)
	case result.Status != http.StatusOK:
		return errors.Errorf("replica %s answered the order with status %d, want %d", o.Replica, result.Status, http.StatusOK)
	}
	return nil
}

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

// modelMegabytes is what a model counts for at the weight store, since neither
// the settings nor the platform's list give sizes.
const modelMegabytes = 20_000

// orderPath is where engines take orders.
const orderPath = "/orders"

// wireOrder is an order in JSON.
type wireOrder struct {
	Fencing int64        `json:"fencing"`
	Model   string       `json:"model"`
	Action  place.Action `json:"action"`
}

// placement makes the placer's view of the site and gives its orders.
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

// needs returns what the settings say to keep loaded. Only the first version
// counts as the model itself; each other one is kept beside it.
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

// artifact reads the name of what an engine holds. A version that is kept beside
// the first one is a model of its own.
func artifact(name string, needs place.Needs) place.Artifact {
	whole := place.Artifact{Model: call.Model(name)}
	for _, need := range needs {
		if need.Model == whole.Model {
			return whole
		}
	}
	if at := strings.LastIndex(name, "@"); at > 0 {
		return place.Artifact{Model: call.Model(name[:at]), Version: name[at+1:]}
	}
	return whole
}

// replicas returns the engines that have reported. The platform's list names the
// models that an engine has room for together.
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
			Reported: report.asked, ChecksOrders: vm.ChecksOrders, Leaving: vm.State == member.StateLeaving,
		}
		for _, name := range report.names {
			r.Loaded = append(r.Loaded, artifact(name, needs))
		}
		out = append(out, r)
	}
	return out
}

// order gives an order to an engine.
func (p *placement) order(ctx context.Context, o placer.Order) error {
	target, ok := p.fleet.target(o.Replica)
	if !ok {
		return errors.Annotatef(placer.ErrNotSent, "replica %s is gone", o.Replica)
	}
	body, err := json.Marshal(wireOrder{o.FencingToken, o.Artifact.String(), o.Action})
	if err != nil {
		return errors.WithType(err, placer.ErrNotSent)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	req := back.Request{Method: http.MethodPost, Path: orderPath, Header: header, Body: body, Fresh: true}
	result, err := p.do(ctx, target, req, nil)
	switch {
	case !result.Wrote:
		return errors.Annotatef(placer.ErrNotSent, "replica %s: %v", o.Replica, err)
	case result.Status == http.StatusConflict:
		return errors.Annotatef(placer.ErrRefused, "replica %s", o.Replica)
	case err != nil:
		return errors.Annotatef(err, "replica %s", o.Replica)
	case result.Status != http.StatusOK:
		return errors.Errorf("replica %s: status %d", o.Replica, result.Status)
	}
	return nil
}

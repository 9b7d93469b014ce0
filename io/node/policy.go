package node

import (
	"strings"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/tree"
	"gentianwell/io/front"
)

// errNoSettings means that no settings have been loaded yet.
const errNoSettings = errors.ConstError("no settings are in force yet")

// policies answers queries of the callers' server (package front) from the settings
// in force.
type policies struct {
	snapshot func() *tree.Snapshot
}

func (p policies) team(bearer string) (call.Team, bool) {
	s := p.snapshot()
	if s == nil {
		return "", false
	}
	return s.TeamByKey(bearer)
}

func (p policies) policy(team call.Team, class call.Class) (front.Policy, error) {
	s := p.snapshot()
	if s == nil {
		return front.Policy{}, errors.Annotate(errNoSettings, "policies.policy")
	}
	if class == "" {
		class = s.DefaultClass(team)
	}
	effective, err := s.Effective(team, class)
	if err != nil {
		return front.Policy{}, errors.Annotate(err, "policies.policy")
	}
	return front.Policy{
		Class: class, Tier: effective.Tier, Deadline: effective.Deadline, MaxWait: effective.MaxWait,
		ProgressTimeout: effective.ProgressTimeout, Retention: effective.ClaimRetention,
		RetryShare: effective.RetryShare, Weight: effective.Weight, AtMostOnce: effective.AtMostOnce,
		FirstTokenTarget: effective.FirstTokenTarget, TokenGapTarget: effective.TokenGapTarget,
	}, nil
}

func (p policies) service(path string) (front.Service, bool) {
	s := p.snapshot()
	if s == nil {
		return front.Service{}, false
	}
	name, service, ok := s.ServiceByPath(path)
	if !ok {
		return front.Service{}, false
	}
	methods := service.IdempotentMethods
	if methods == nil {
		methods = tree.DefaultIdempotentMethods()
	}
	return front.Service{
		Name: name, Prefix: strings.TrimSuffix(service.PathPrefix, "/"),
		Idempotent: methods, RemovesDuplicates: service.RemovesDuplicates,
	}, true
}

func (p policies) models() []call.Model {
	s := p.snapshot()
	if s == nil {
		return nil
	}
	models := make([]call.Model, 0, len(s.Tree.Models))
	for name := range s.Tree.Models {
		models = append(models, name)
	}
	return models
}

package node

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/member"
	"gentianwell/io/back"
)

const (
	// modelsPath is where engines list the models that they hold.
	modelsPath = "/v1/models"
	// modelsInterval is how old a report may become before it is asked for anew,
	// longer where there are so many engines that modelsGap for each exceeds it.
	modelsInterval = 5 * time.Second
	modelsGap      = 50 * time.Millisecond
	// modelsTimeout bounds the asking, and modelsAtOnce how many are asked for at
	// the same time.
	modelsTimeout = time.Second
	modelsAtOnce  = 64
)

// wireModels is an engine's list of models.
type wireModels struct {
	Data []struct {
		ID string `json:"id"`
	} `json:"data"`
}

// modelReport is what an engine held when it was asked.
type modelReport struct {
	names []string
	asked time.Time
}

// loadedModels keeps which models the engines hold. It asks only while this VM
// holds the placer's lease.
type loadedModels struct {
	now     func() time.Time
	do      func(context.Context, back.Target, back.Request, func(back.Event) error) (back.Result, error)
	mu      sync.Mutex
	reports map[call.ReplicaID]modelReport
}

func (l *loadedModels) get(id call.ReplicaID) (modelReport, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	report, ok := l.reports[id]
	return report, ok
}

// refresh asks the engines whose reports are oldest, and forgets those that are
// listed no more.
func (l *loadedModels) refresh(engines member.VMs) {
	var all sync.WaitGroup
	for _, vm := range l.due(engines) {
		all.Go(func() { l.ask(back.Target{ID: call.ReplicaID(vm.ID), Address: vm.Address}) })
	}
	all.Wait()
}

func (l *loadedModels) due(engines member.VMs) member.VMs {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, kept := l.now(), map[call.ReplicaID]modelReport{}
	interval := max(modelsInterval, time.Duration(len(engines))*modelsGap)
	var due member.VMs
	for _, vm := range engines {
		report, ok := l.reports[call.ReplicaID(vm.ID)]
		if ok {
			kept[call.ReplicaID(vm.ID)] = report
		}
		if now.Sub(report.asked) >= interval {
			due = append(due, vm)
		}
	}
	l.reports = kept
	slices.SortStableFunc(due, func(a, b member.VM) int {
		return kept[call.ReplicaID(a.ID)].asked.Compare(kept[call.ReplicaID(b.ID)].asked)
	})
	return due[:min(len(due), modelsAtOnce)]
}

// ask reads one engine's list. An engine that gives none keeps its old report,
// by which no copy of a new tenure counts.
func (l *loadedModels) ask(t back.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), modelsTimeout)
	defer cancel()
	asked := l.now()
	names, err := l.fetch(ctx, t)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[t.ID] = modelReport{names: names, asked: asked}
}

func (l *loadedModels) fetch(ctx context.Context, t back.Target) ([]string, error) {
	result, err := l.do(ctx, t, back.Request{Method: http.MethodGet, Path: modelsPath}, nil)
	if err != nil {
		return nil, errors.Annotate(err, "loadedModels.fetch")
	}
	if result.Status != http.StatusOK {
		return nil, errors.Errorf("loadedModels.fetch: status %d", result.Status)
	}
	var list wireModels
	if err := json.Unmarshal(result.Body, &list); err != nil {
		return nil, errors.Annotate(err, "loadedModels.fetch")
	}
	names := make([]string, 0, len(list.Data))
	for _, model := range list.Data {
		names = append(names, model.ID)
	}
	return names, nil
}

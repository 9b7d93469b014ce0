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
	// modelsPath is the path at which engines list the models that they have loaded.
	modelsPath = "/v1/models"
	// modelsInterval is the age at which a report is read again. With many engines
	// the age is modelsIntervalPerEngine times their number, if that is longer.
	modelsInterval          = 5 * time.Second
	modelsIntervalPerEngine = 50 * time.Millisecond
	// modelsTimeout bounds one read, maxModelsReads the number of concurrent reads.
	modelsTimeout  = time.Second
	maxModelsReads = 64
)

// wireModels is an engine's list of models in JSON.
type wireModels struct {
	Data []struct {
		ID string `json:"id"`
	} `json:"data"`
}

// modelReport holds the names of the models that an engine had loaded, and when
// they were requested.
type modelReport struct {
	names       []string
	requestedAt time.Time
}

// loadedModels keeps the reports of which models the engines have loaded. The
// engines are asked only while this VM holds the placer's lease.
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

// refresh reads the reports that are due, oldest first and at most maxModelsReads,
// and deletes those of engines that are not in the list. It waits for the reads.
func (l *loadedModels) refresh(engines member.VMs) {
	var reads sync.WaitGroup
	for _, vm := range l.due(engines) {
		reads.Go(func() { l.read(back.Target{ID: call.ReplicaID(vm.ID), Address: vm.Address}) })
	}
	reads.Wait()
}

// due returns the engines to read next, and deletes the reports of all that are not
// in the list.
func (l *loadedModels) due(engines member.VMs) member.VMs {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, kept := l.now(), map[call.ReplicaID]modelReport{}
	interval := max(modelsInterval, time.Duration(len(engines))*modelsIntervalPerEngine)
	var due member.VMs
	for _, vm := range engines {
		report, ok := l.reports[call.ReplicaID(vm.ID)]
		if ok {
			kept[call.ReplicaID(vm.ID)] = report
		}
		if now.Sub(report.requestedAt) >= interval {
			due = append(due, vm)
		}
	}
	l.reports = kept
	slices.SortStableFunc(due, func(a, b member.VM) int {
		return kept[call.ReplicaID(a.ID)].requestedAt.Compare(kept[call.ReplicaID(b.ID)].requestedAt)
	})
	return due[:min(len(due), maxModelsReads)]
}

// read reads one engine's list. If that fails, the old report stays. Its
// copies do not count in a term of the placer's lease that began after the report.
func (l *loadedModels) read(t back.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), modelsTimeout)
	defer cancel()
	requestedAt := l.now()
	names, err := l.fetch(ctx, t)
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[t.ID] = modelReport{names: names, requestedAt: requestedAt}
}

func (l *loadedModels) fetch(ctx context.Context, t back.Target) ([]string, error) {
	result, err := l.do(ctx, t, back.Request{Method: http.MethodGet, Path: modelsPath}, nil)
	if err != nil {
		return nil, errors.Annotate(err, "loadedModels.fetch")
	}
	if result.Status != http.StatusOK {
		return nil, errors.Errorf("loadedModels.fetch: %s answered with status %d, want %d", t.ID, result.Status, http.StatusOK)
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

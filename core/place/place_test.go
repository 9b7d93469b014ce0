package place

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

var (
	urgent = Need{Artifact: Artifact{Model: "plots"}, Tier: 0, Copies: 1, MinCopies: 1, Megabytes: 100}
	other  = Need{Artifact: Artifact{Model: "rules"}, Tier: 1, Copies: 1, MinCopies: 1, Megabytes: 100}
)

// replicaHolding returns a replica with one slot and a confirmed copy of the
// model, changed by change.
func replicaHolding(id call.ReplicaID, m call.Model, change func(*Replica)) Replica {
	r := Replica{
		ID: id, Slots: 1, Loaded: []Artifact{{Model: m}}, ChecksOrders: true, OrdersAllowed: true,
		EarlierOrdersEnded: begin, Reported: begin.Add(time.Second),
	}
	if change != nil {
		change(&r)
	}
	return r
}

// A model with MinCopies 1 has two copies: one may be evicted for the urgent
// model, unless the other is not certain to stay.
func TestFloor(t *testing.T) {
	ignoresTokens := func(r *Replica) { r.ChecksOrders = false }
	tests := []struct {
		name   string
		first  func(*Replica)
		second func(*Replica)
		extra  Replicas
		want   int
	}{
		{"both confirmed", nil, nil, nil, 1},
		{"engines ignore fencing tokens", ignoresTokens, ignoresTokens, nil, 0},
		{"engines ignore fencing tokens, a third copy", ignoresTokens, ignoresTokens, Replicas{replicaHolding("r3", "rules", ignoresTokens)}, 1},
		{"old report", nil, func(r *Replica) { r.Reported = begin; r.OrdersAllowed = false }, nil, 0},
		{"earlier orders may arrive", nil, func(r *Replica) { r.EarlierOrdersEnded = time.Time{}; r.OrdersAllowed = false }, nil, 0},
		{"leaving", nil, func(r *Replica) { r.Leaving = true }, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPlanner(Config{})
			replicas := Replicas{replicaHolding("r1", "rules", tt.first), replicaHolding("r2", "rules", tt.second)}
			orders := p.Plan(begin.Add(time.Hour), Needs{urgent, other}, append(replicas, tt.extra...))
			assert.Equal(t, len(orders), tt.want, "%v", orders)
		})
	}
}

// An unload counts as done from the moment it is ordered, until a report from
// after the order's end shows otherwise. No second unload is ordered to make room
// for the same artifact.
func TestUnloadInFlight(t *testing.T) {
	p := NewPlanner(Config{})
	second := Need{Artifact: Artifact{Model: "ink"}, Tier: 0, Copies: 1, Megabytes: 100}
	needs := Needs{urgent, other}
	replicas := Replicas{
		replicaHolding("r1", "rules", nil), replicaHolding("r2", "rules", nil), replicaHolding("r3", "rules", nil),
	}
	now := begin.Add(time.Minute)
	orders := p.Plan(now, needs, replicas)
	want := Orders{{"r1", Artifact{Model: "rules"}, ActionUnload, "room for plots, 2 copies stay"}}
	assert.DeepEqual(t, orders, want)

	// No order for the same need, one more unload for a second need, then none.
	assert.Equal(t, len(p.Plan(now.Add(time.Second), needs, replicas)), 0)
	needs = append(needs, second)
	orders = p.Plan(now.Add(2*time.Second), needs, replicas)
	assert.Equal(t, len(orders), 1)
	assert.Equal(t, orders[0].Replica, call.ReplicaID("r2"))
	for _, reported := range []time.Duration{time.Second, 9 * time.Second} {
		for i := range replicas {
			replicas[i].Reported = now.Add(reported)
		}
		third := Need{Artifact: Artifact{Model: "maps"}, Tier: 0, Copies: 1, Megabytes: 100}
		orders = p.Plan(now.Add(10*time.Second), append(needs, third), replicas)
		assert.Equal(t, len(orders), 0, "%v", orders)
	}
	// Lost orders are sent again once they are certain to have ended.
	for i := range replicas {
		replicas[i].Reported = now.Add(time.Minute)
	}
	assert.Equal(t, len(p.Plan(now.Add(time.Minute), needs, replicas)), 2)
}

func TestZonesAndVersions(t *testing.T) {
	wanted := urgent
	wanted.Version, wanted.Copies = "2", 2
	adapter := Need{Artifact: Artifact{Model: "plots-sala"}, Base: "plots", Copies: 1}
	replicas := Replicas{
		replicaHolding("a1", "plots", func(r *Replica) { r.Zone = "sala" }),
		replicaHolding("a2", "", func(r *Replica) { r.Zone, r.Loaded = "sala", nil }),
		replicaHolding("a3", "", func(r *Replica) { r.Zone, r.Loaded = "sala", nil }),
		replicaHolding("b1", "", func(r *Replica) { r.Zone, r.Loaded = "koping", nil }),
	}
	p := NewPlanner(Config{ReadBurst: 1000})
	assert.Equal(t, len(p.Plan(begin, Needs{wanted, adapter}, replicas)), 1, "the limiter starts empty: only the adapter, with 0 MB, is loaded")
	p = NewPlanner(Config{ReadBurst: 1000})
	p.Plan(begin, nil, nil)
	orders := p.Plan(begin.Add(time.Minute), Needs{wanted, adapter}, replicas)
	got := map[string]bool{}
	for _, o := range orders {
		got[fmt.Sprint(o.Replica, " ", o.Action, " ", o.Artifact)] = true
	}
	want := map[string]bool{"a2 load plots@2": true, "b1 load plots@2": true, "a1 load plots-sala": true}
	assert.DeepEqual(t, got, want)
}

func TestTerm(t *testing.T) {
	c := TermConfig{TTL: 30 * time.Second, Margin: 3 * time.Second, OrderTimeout: 10 * time.Second}
	term := NewTerm(c, 7, begin, begin.Add(time.Second))
	renewed := begin.Add(35 * time.Second)
	tests := []struct {
		name         string
		renew        time.Time
		at           time.Duration
		checksOrders bool
		want         bool
	}{
		{"engine checks tokens, at once", begin, time.Second, true, true},
		{"engine checks tokens, near the end", begin, 26 * time.Second, true, true},
		{"engine checks tokens, within the margin", begin, 27 * time.Second, true, false},
		{"engine ignores tokens, at once", begin, time.Second, false, false},
		{"engine ignores tokens, earlier orders not ended", renewed, 40 * time.Second, false, false},
		{"engine ignores tokens, earlier orders ended", renewed, 41 * time.Second, false, true},
		{"engine ignores tokens, order could outlast the lease", renewed, 53 * time.Second, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			term.Renewed(tt.renew)
			got, reason := term.MayOrder(begin.Add(tt.at), tt.checksOrders)
			assert.Equal(t, got, tt.want, reason)
		})
	}
}

func TestNeedsValidate(t *testing.T) {
	assert.NilError(t, Needs{urgent, other}.Validate())
	assert.Assert(t, Needs{urgent, urgent}.Validate() != nil)
	assert.Assert(t, Needs{{Artifact: Artifact{Model: "a"}, Base: "b"}}.Validate() != nil)
}

func Example() {
	now := time.Unix(0, 0)
	planner := NewPlanner(Config{ReadRate: 100, ReadBurst: 1000})
	needs := Needs{{Artifact: Artifact{Model: "drafts"}, Copies: 1, MinCopies: 1, Megabytes: 500}}
	replicas := Replicas{{ID: "e1", Slots: 1, OrdersAllowed: true}}
	fmt.Println(len(planner.Plan(now, needs, replicas)))
	for _, o := range planner.Plan(now.Add(5*time.Second), needs, replicas) {
		fmt.Println(o.Replica, o.Action, o.Artifact, "-", o.Reason)
	}
	// Output:
	// 0
	// e1 load drafts - 0 of 1 copies
}

// BenchmarkPlan measures a plan without orders for several fleet sizes and 22
// models.
func BenchmarkPlan(b *testing.B) {
	for _, count := range []int{75, 150, 300, 600} {
		b.Run(fmt.Sprintf("replicas=%d", count), func(b *testing.B) {
			needs, replicas := fleet(count)
			p := NewPlanner(Config{})
			now := begin.Add(time.Hour)
			for b.Loop() {
				now = now.Add(time.Second)
				p.Plan(now, needs, replicas)
			}
		})
	}
}

// BenchmarkPlanOrders measures a plan of up to 16 orders.
func BenchmarkPlanOrders(b *testing.B) {
	for _, count := range []int{75, 150, 300, 600} {
		b.Run(fmt.Sprintf("replicas=%d", count), func(b *testing.B) {
			needs, replicas := fleet(count)
			for i := range needs {
				needs[i].Copies = needs[i].Copies * 3 / 2
			}
			for b.Loop() {
				p := NewPlanner(Config{})
				p.Plan(begin, nil, nil)
				if n := len(p.Plan(begin.Add(time.Hour), needs, replicas)); n == 0 {
					b.Fatal(n)
				}
			}
		})
	}
}

func fleet(count int) (Needs, Replicas) {
	const models = 22
	var needs Needs
	for i := range models {
		m := call.Model(fmt.Sprint("m", i))
		needs = append(needs, Need{Artifact: Artifact{Model: m}, Tier: call.Tier(i % 8), Copies: count / models, MinCopies: 1, Megabytes: 1})
	}
	var replicas Replicas
	for i := range count {
		r := replicaHolding(call.ReplicaID(fmt.Sprint("r", i)), needs[i%models].Model, nil)
		r.Slots, r.Zone = 2, call.Zone(fmt.Sprint(i%7))
		replicas = append(replicas, r)
	}
	return needs, replicas
}

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

// holding returns a replica with one slot that surely holds the model.
func holding(id call.ReplicaID, m call.Model, change func(*Replica)) Replica {
	r := Replica{
		ID: id, Slots: 1, Loaded: []Artifact{{Model: m}}, ChecksOrders: true, OrdersAllowed: true,
		EarlierOrdersEnded: begin, Reported: begin.Add(time.Second),
	}
	if change != nil {
		change(&r)
	}
	return r
}

// Two copies of a model that needs one: one may go for the urgent model, unless
// it isn't sure that the other stays.
func TestFloor(t *testing.T) {
	ignores := func(r *Replica) { r.ChecksOrders = false }
	tests := []struct {
		name   string
		first  func(*Replica)
		second func(*Replica)
		extra  Replicas
		want   int
	}{
		{"both sure", nil, nil, nil, 1},
		{"engines ignore numbers", ignores, ignores, nil, 0},
		{"engines ignore numbers, a third copy", ignores, ignores, Replicas{holding("r3", "rules", ignores)}, 1},
		{"old report", nil, func(r *Replica) { r.Reported = begin; r.OrdersAllowed = false }, nil, 0},
		{"earlier orders may arrive", nil, func(r *Replica) { r.EarlierOrdersEnded = time.Time{}; r.OrdersAllowed = false }, nil, 0},
		{"leaving", nil, func(r *Replica) { r.Leaving = true }, nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := NewPlanner(Config{})
			replicas := Replicas{holding("r1", "rules", tt.first), holding("r2", "rules", tt.second)}
			orders := p.Plan(begin.Add(time.Hour), Needs{urgent, other}, append(replicas, tt.extra...))
			assert.Equal(t, len(orders), tt.want, "%v", orders)
		})
	}
}

// An unload counts as done from the moment it is ordered, until a report from
// after the order's end shows otherwise; and what it makes room for isn't given
// room a second time.
func TestUnloadInFlight(t *testing.T) {
	p := NewPlanner(Config{})
	more := Need{Artifact: Artifact{Model: "ink"}, Tier: 0, Copies: 1, Megabytes: 100}
	needs := Needs{urgent, other}
	replicas := Replicas{
		holding("r1", "rules", nil), holding("r2", "rules", nil), holding("r3", "rules", nil),
	}
	now := begin.Add(time.Minute)
	orders := p.Plan(now, needs, replicas)
	want := Orders{{"r1", Artifact{Model: "rules"}, ActionUnload, "room for plots, 2 copies stay"}}
	assert.DeepEqual(t, orders, want)

	// Nothing new for the same need, one more unload for another, and then none.
	assert.Equal(t, len(p.Plan(now.Add(time.Second), needs, replicas)), 0)
	needs = append(needs, more)
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
	// Lost orders are given again once they have surely ended.
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
		holding("a1", "plots", func(r *Replica) { r.Zone = "sala" }),
		holding("a2", "", func(r *Replica) { r.Zone, r.Loaded = "sala", nil }),
		holding("a3", "", func(r *Replica) { r.Zone, r.Loaded = "sala", nil }),
		holding("b1", "", func(r *Replica) { r.Zone, r.Loaded = "koping", nil }),
	}
	p := NewPlanner(Config{Burst: 1000})
	assert.Equal(t, len(p.Plan(begin, Needs{wanted, adapter}, replicas)), 1, "no weights yet: the adapter only")
	p = NewPlanner(Config{Burst: 1000})
	p.Plan(begin, nil, nil)
	orders := p.Plan(begin.Add(time.Minute), Needs{wanted, adapter}, replicas)
	got := map[string]bool{}
	for _, o := range orders {
		got[fmt.Sprint(o.Replica, " ", o.Action, " ", o.Artifact)] = true
	}
	want := map[string]bool{"a2 load plots@2": true, "b1 load plots@2": true, "a1 load plots-sala": true}
	assert.DeepEqual(t, got, want)
}

func TestTenure(t *testing.T) {
	c := TermConfig{TTL: 30 * time.Second, Margin: 3 * time.Second, OrderTimeout: 10 * time.Second}
	tenure := NewTerm(c, 7, begin, begin.Add(time.Second))
	renewed := begin.Add(35 * time.Second)
	tests := []struct {
		name   string
		renew  time.Time
		at     time.Duration
		checks bool
		want   bool
	}{
		{"checking engine at once", begin, time.Second, true, true},
		{"checking engine near the end", begin, 26 * time.Second, true, true},
		{"checking engine after the margin", begin, 27 * time.Second, true, false},
		{"ignoring engine at once", begin, time.Second, false, false},
		{"ignoring engine before old orders ended", renewed, 40 * time.Second, false, false},
		{"ignoring engine after", renewed, 41 * time.Second, false, true},
		{"ignoring engine, order would outlast", renewed, 53 * time.Second, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tenure.Renewed(tt.renew)
			got, reason := tenure.MayOrder(begin.Add(tt.at), tt.checks)
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
	planner := NewPlanner(Config{Rate: 100, Burst: 1000})
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

// BenchmarkPlan measures a plan at rest for several fleets with 22 models.
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

// BenchmarkPlanOrders measures a plan with up to sixteen orders to give.
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
		r := holding(call.ReplicaID(fmt.Sprint("r", i)), needs[i%models].Model, nil)
		r.Slots, r.Zone = 2, call.Zone(fmt.Sprint(i%7))
		replicas = append(replicas, r)
	}
	return needs, replicas
}

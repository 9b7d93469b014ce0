package route

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
)

var t0 = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

func newRouter(t assert.TestingT, c Config) *Router {
	if c.Self == "" {
		c.Self = "e1"
	}
	if c.Zone == "" {
		c.Zone = "z0"
	}
	c.Rand = rand.New(rand.NewPCG(gwtest.Seed(), 1))
	r, err := New(c)
	assert.NilError(t, err)
	return r
}

// newReplicas returns n replicas of model "m" with ten slots, spread over the zones.
func newReplicas(n, zones int) Replicas {
	var list Replicas
	for i := range n {
		list = append(list, Replica{
			ID:      call.ReplicaID(fmt.Sprintf("r%d", i)),
			Zone:    call.Zone(fmt.Sprintf("z%d", i%zones)),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 80),
			Models:  []call.Model{"m"},
			Slots:   10,
		})
	}
	return list
}

func at(d time.Duration) time.Time { return t0.Add(d) }

var request = call.Call{ID: "c", Team: "t", Model: "m"}

func TestNewRefusesBadConfig(t *testing.T) {
	good := Config{Self: "e1", Rand: rand.New(rand.NewPCG(1, 1))}
	tests := []struct {
		name   string
		change func(*Config)
		want   string
	}{
		{"self", func(c *Config) { c.Self = "" }, "Self"},
		{"rand", func(c *Config) { c.Rand = nil }, "Rand"},
		{"choices", func(c *Config) { c.Choices = -1 }, "Choices"},
		{"share", func(c *Config) { c.EjectedShareMax = 1 }, "EjectedShareMax"},
		{"eject time", func(c *Config) { c.EjectTime = time.Hour }, "EjectTimeMax"},
		{"slow factor", func(c *Config) { c.SlowFactor = 1 }, "SlowFactor"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := good
			tt.change(&c)
			_, err := New(c)
			assert.ErrorContains(t, err, tt.want)
		})
	}
}

func TestPickErrors(t *testing.T) {
	r := newRouter(t, Config{})
	_, err := r.Pick(t0, request, nil)
	assert.Assert(t, errors.Is(err, ErrNoReplica))

	r.SetReplicas(t0, newReplicas(2, 1))
	assert.Assert(t, r.HasCapacity(t0, "m"))
	for _, id := range []call.ReplicaID{"r0", "r1"} {
		for range 10 {
			r.Started(t0, id, 1)
		}
	}
	_, err = r.Pick(t0, request, nil)
	assert.Assert(t, errors.Is(err, ErrBusy))
	assert.Assert(t, !r.HasCapacity(t0, "m"))

	r.Finished(t0, "r1", 1, Result{Status: StatusOK})
	d, err := r.Pick(t0, request, nil)
	assert.NilError(t, err)
	assert.Equal(t, d.Replica.ID, call.ReplicaID("r1"))
	assert.DeepEqual(t, d.Skipped, []Skipped{{ID: "r0", Reason: SkipFull}})

	_, err = r.Pick(t0, request, []call.ReplicaID{"r0", "r1"})
	assert.Assert(t, errors.Is(err, ErrNoReplica))
}

package spread

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// An older version never replaces a newer one, whether it comes by Put or Merge.
func TestOlderVersionIsIgnored(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(Config{Self: "vm-1", Rand: rand.New(rand.NewPCG(1, 2))})
	item := func(version uint64, value string) Item {
		return Item{ID: ID{Kind: "k", Key: "a"}, Version: version, Value: []byte(value), Expires: now.Add(time.Minute)}
	}
	assert.Assert(t, s.Put(now, item(7, "new")))
	assert.Assert(t, !s.Put(now, item(6, "old")))
	assert.Equal(t, len(s.Merge(now, Items{item(5, "older"), item(7, "new")})), 0)
	kept, ok := s.Get(now, ID{Kind: "k", Key: "a"})
	assert.Assert(t, ok)
	assert.Equal(t, string(kept.Value), "new")
	assert.Equal(t, len(s.Merge(now, Items{item(8, "newest")})), 1)
}

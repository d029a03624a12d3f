package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/cassiabridge/cassiabridge/routing"
)

// TestEntryOfAnUndeclaredServiceReplacesReplicas guards against replicas that get no more work since another writer has left entries with their
// addresses, of a service that nobody declares.
func TestEntryOfAnUndeclaredServiceReplacesReplicas(t *testing.T) {
	pools := func(names ...string) (pools []routing.Pool) {
		for _, name := range names {
			pools = append(pools, routing.Pool{Name: name})
		}
		return pools
	}
	list := func(s *Scheduler, id, pool string) {
		s.SetReplica(Replica{ID: id, Pool: pool, Address: "10.0.0.1:1", Slots: 1})
	}
	t.Run("undeclared", func(t *testing.T) {
		s := newEmptyScheduler()
		s.SetPools(pools("p"))
		list(s, "serves", "p")
		list(s, "odd", "nobody declares this")
		assert.Empty(t, s.ReplacedIDs())
	})
	t.Run("undeclared, listed before there are declarations", func(t *testing.T) {
		s := newEmptyScheduler()
		list(s, "serves", "p")
		list(s, "odd", "nobody declares this")
		s.SetPools(pools("p"))
		assert.Empty(t, s.ReplacedIDs())
	})
	t.Run("another declared service", func(t *testing.T) {
		s := newEmptyScheduler()
		s.SetPools(pools("p", "q"))
		list(s, "gone", "p")
		list(s, "serves", "q")
		assert.Equal(t, []string{"gone"}, s.ReplacedIDs())
	})
	t.Run("a service that is declared later", func(t *testing.T) {
		s := newEmptyScheduler()
		s.SetPools(pools("p"))
		list(s, "gone", "p")
		list(s, "serves", "q")
		assert.Empty(t, s.ReplacedIDs())
		s.SetPools(pools("p", "q"))
		assert.Equal(t, []string{"gone"}, s.ReplacedIDs())
		s.SetPools(pools("p", "q"))
		assert.Equal(t, []string{"gone"}, s.ReplacedIDs())
	})
}

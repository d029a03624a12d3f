package placement

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestListDigest(t *testing.T) {
	replica := Replica{ID: "i-1", Pool: "p", Address: "10.0.0.1:1", Zone: "z", Stage: StageDecode, Slots: 4}
	other := Replica{ID: "i-2", Pool: "p", Address: "10.0.0.2:1"}
	digestOf := func(born int64, replicas ...Replica) uint64 {
		d := NewListDigest()
		for _, r := range replicas {
			d.Set(r, born)
		}
		return d.Total
	}
	t.Run("same replicas in another order", func(t *testing.T) {
		assert.Equal(t, digestOf(1, replica, other), digestOf(1, other, replica))
	})
	t.Run("a replica that was removed, or listed again", func(t *testing.T) {
		d := NewListDigest()
		d.Set(other, 1)
		d.Set(replica, 1)
		d.Set(replica, 1)
		d.Remove("i-2")
		d.Remove("i-2")
		assert.Equal(t, digestOf(1, replica), d.Total)
	})
	t.Run("a difference in one field", func(t *testing.T) {
		changes := map[string]func(*Replica){
			"pool": func(r *Replica) { r.Pool = "q" }, "address": func(r *Replica) { r.Address = "10.0.0.3:1" },
			"zone": func(r *Replica) { r.Zone = "y" }, "stage": func(r *Replica) { r.Stage = StagePrefill },
			"slots": func(r *Replica) { r.Slots = 5 }, "version": func(r *Replica) { r.SoftwareVersion = "v2" }, "leaving": func(r *Replica) { r.Leaving = true },
		}
		for name, change := range changes {
			changed := replica
			change(&changed)
			assert.NotEqual(t, digestOf(1, replica), digestOf(1, changed), name)
		}
		assert.NotEqual(t, digestOf(1, replica), digestOf(2, replica), "another process")
	})
	t.Run("what a VM doubts is no difference", func(t *testing.T) {
		doubtful := replica
		doubtful.Doubtful = true
		assert.Equal(t, digestOf(1, replica), digestOf(1, doubtful))
	})
}

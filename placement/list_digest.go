package placement

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// ListDigest is a digest of the replicas that a VM has read of the list, in any order. Two VMs with the same Total list the same
// replicas, whatever they have read.
type ListDigest struct {
	// Total is the digest of all replicas.
	Total uint64
	// entries holds the digest of each replica by ID.
	entries map[string]uint64
}

// NewListDigest returns the digest of no replicas.
func NewListDigest() ListDigest { return ListDigest{entries: map[string]uint64{}} }

// Set records an entry of the list. born is when the replica's process started, in Unix milliseconds by its own clock.
func (d *ListDigest) Set(replica Replica, born int64) {
	d.Remove(replica.ID)
	digest := entryDigest(replica, born)
	d.entries[replica.ID] = digest
	d.Total ^= digest
}

// Has reports whether the replica with this ID is listed.
func (d *ListDigest) Has(id string) bool {
	_, found := d.entries[id]
	return found
}

// Len returns the number of replicas that are listed.
func (d *ListDigest) Len() int { return len(d.entries) }

// Remove records that a replica is no longer listed.
func (d *ListDigest) Remove(id string) {
	d.Total ^= d.entries[id]
	delete(d.entries, id)
}

func entryDigest(replica Replica, born int64) uint64 {
	h := xxhash.New()
	for _, text := range []string{replica.ID, replica.Pool, replica.Address, replica.Zone, replica.Stage.String(), replica.SoftwareVersion} {
		_, _ = h.WriteString(text)
		_, _ = h.Write([]byte{0})
	}
	leaving := uint64(0)
	if replica.Leaving {
		leaving = 1
	}
	for _, n := range []uint64{uint64(replica.Slots), leaving, uint64(born)} {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, n))
	}
	return h.Sum64()
}

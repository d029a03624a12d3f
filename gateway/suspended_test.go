package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestSuspendedVMBelievesWhatItKnew guards against a VM that was suspended, so that its steady clock stood still, and that counts what it knew of
// the list and of its peers as young.
func TestSuspendedVMBelievesWhatItKnew(t *testing.T) {
	const suspended = 3 * time.Second
	f := newSimFleet(t, 7, 20)
	f.run(4 * time.Second)
	v := f.vms[1]
	known := v.listKnownAt()
	v.ageEvidence(suspended)
	assert.Equal(t, known.Add(-suspended), v.listKnownAt())
}

package eventstream

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestStreamWhoseIDsCannotBeComparedIsSentOnForNothing guards against runs of which no event can be accepted.
func TestStreamWhoseIDsCannotBeComparedIsSentOnForNothing(t *testing.T) {
	var s Sequence
	s.BeginAnswer()
	_, err := s.Add([]byte(events("1526919030474-0")))
	assert.NoError(t, err)
	canResume := s.CanResume()
	s.BeginAnswer()
	_, err = s.Add([]byte(events("1526919030474-1")))
	assert.Equal(t, canResume, err == nil, "%v", err)
}

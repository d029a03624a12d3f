package eventstream

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// events returns events with the given IDs, and without one for an empty ID.
func events(ids ...string) string {
	var b strings.Builder
	for _, id := range ids {
		if id != "" {
			fmt.Fprintf(&b, "id: %s\n", id)
		}
		b.WriteString("data: d\n\n")
	}
	return b.String()
}

func TestSequence(t *testing.T) {
	none := []string{}
	scenarios := []struct {
		name string
		// first holds the IDs that the first upstream sends, and next those of the upstream that goes on.
		first, next []string
		// valid is the number of events of next that may follow, and kind why the one after them may not.
		valid int
		kind  ErrorKind
	}{
		{"goes on", []string{"1", "2"}, []string{"3", "4"}, 2, ""},
		{"counts from 0", []string{"0", "1"}, []string{"2"}, 1, ""},
		{"more digits", []string{"8", "9"}, []string{"10"}, 1, ""},
		{"begins anew", []string{"1", "2"}, []string{"1", "2", "3"}, 0, ErrBackward},
		{"begins with the last event", []string{"1", "2"}, []string{"2", "3"}, 0, ErrRepeated},
		{"leaves an event out", []string{"1", "2"}, []string{"4"}, 0, ErrGap},
		{"leaves the second event out", []string{"1"}, []string{"3"}, 0, ErrGap},
		{"numbers that are no counts", []string{"1", "4"}, []string{"7"}, 1, ""},
		{"numbers that begin elsewhere", []string{"10", "11"}, []string{"13"}, 1, ""},
		{"without IDs", []string{"1", "2"}, []string{"", "3"}, 0, ErrNoID},
		{"without IDs later", []string{"1", "2"}, []string{"3", ""}, 2, ""},
		{"goes back later", []string{"1", "2"}, []string{"3", "4", "3"}, 2, ErrBackward},
		{"leaves an event out later", []string{"1", "2"}, []string{"3", "5"}, 2, ""},
		{"IDs that are no numbers", []string{"a", "b"}, []string{"c"}, 0, ErrIncomparable},
		{"the same text again", []string{"a", "b"}, []string{"b"}, 0, ErrRepeated},
		{"nothing before", none, []string{"5", "6"}, 2, ""},
		{"goes back behind a text", []string{"5"}, []string{"6", "x", "2"}, 2, ErrBackward},
		{"repeats an event later", []string{"1", "2"}, []string{"3", "3"}, 1, ErrRepeated},
		{"a number that is too large", []string{"1"}, []string{"99999999999999999999"}, 0, ErrIncomparable},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			s := NewSequence("", Numbering{Increasing: true, Counting: true})
			s.BeginAnswer()
			_, err := s.Add([]byte(events(scenario.first...)))
			assert.NoError(t, err)
			s.BeginAnswer()
			length, err := s.Add([]byte(events(scenario.next...)))
			assertAdded(t, length, err, events(scenario.next[:scenario.valid]...), scenario.kind)
		})
	}
}

// assertAdded checks what Add has returned.
func assertAdded(t *testing.T, length int, err error, valid string, kind ErrorKind) {
	t.Helper()
	assert.Equal(t, len(valid), length)
	if kind == "" {
		assert.NoError(t, err)
		return
	}
	var own *Error
	if assert.ErrorAs(t, err, &own) {
		assert.Equal(t, kind, own.Kind)
	}
}

func TestSequenceOfACallerThatResumes(t *testing.T) {
	scenarios := []struct {
		name, lastID string
		counted      bool
		next         []string
		valid        int
		kind         ErrorKind
	}{
		{"goes on", "7", true, []string{"8", "9"}, 2, ""},
		{"begins anew", "7", true, []string{"1"}, 0, ErrBackward},
		{"leaves events out", "7", true, []string{"9"}, 0, ErrGap},
		{"numbers that are no counts", "7", false, []string{"9"}, 1, ""},
		{"text", "a", true, []string{"c", "b"}, 2, ""},
		{"the same text", "a", true, []string{"a"}, 0, ErrRepeated},
		{"without IDs", "7", true, []string{""}, 0, ErrNoID},
		{"a new stream", "", true, []string{"1"}, 1, ""},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			s := NewSequence(scenario.lastID, Numbering{Increasing: true, Counting: scenario.counted})
			s.BeginAnswer()
			length, err := s.Add([]byte(events(scenario.next...)))
			assertAdded(t, length, err, events(scenario.next[:scenario.valid]...), scenario.kind)
		})
	}
}

func TestSequenceWithoutIDsCannotBeResumed(t *testing.T) {
	for _, scenario := range []struct {
		name, stream string
		canResume    bool
	}{
		{"nothing", "", true},
		{"a comment", ": keep-alive\n\n", true},
		{"an event without an ID", events(""), false},
		{"an event without an ID at the end", events("1", ""), false},
		{"an event without an ID in the middle", events("1", "", "2"), true},
		{"a comment at the end", events("1") + ": keep-alive\n\n", true},
		{"an empty ID", "id:\ndata: d\n\n", false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			var s Sequence
			_, err := s.Add([]byte(scenario.stream))
			assert.NoError(t, err)
			assert.Equal(t, scenario.canResume, s.CanResume())
		})
	}
}

func TestSequencePassesOverComments(t *testing.T) {
	var s Sequence
	_, err := s.Add([]byte(events("1")))
	assert.NoError(t, err)
	s.BeginAnswer()
	_, err = s.Add([]byte(": keep-alive\n\n"))
	assert.NoError(t, err)
	assert.True(t, s.Joining(), "a comment is no event")
	_, err = s.Add([]byte(events("2")))
	assert.NoError(t, err)
	assert.False(t, s.Joining())
	assert.Equal(t, "2", s.FirstID())
}

// TestNumbersThatNeedNotIncrease checks that only joints are judged where upstreams promise no order.
func TestNumbersThatNeedNotIncrease(t *testing.T) {
	s := NewSequence("", Numbering{Counting: true})
	_, err := s.Add([]byte(events("1", "1", "0", "1")))
	assert.NoError(t, err)
	s.BeginAnswer()
	_, err = s.Add([]byte(events("1")))
	assertAdded(t, 0, err, "", ErrRepeated)
}

func TestSteps(t *testing.T) {
	s := NewSequence("x", Numbering{Increasing: true, Counting: true})
	s.BeginAnswer()
	_, err := s.Add([]byte(events("1", "2", "4", "5")))
	assert.NoError(t, err)
	s.BeginAnswer()
	_, err = s.Add([]byte(events("9", "10")))
	assert.NoError(t, err)
	assert.Equal(t, Steps{All: 4, Skipping: 1}, s.Steps(), "joints are no steps")
}

// TestRepeatedEventHidesAGap guards against a gap at a joint that follows an answer in which an event came twice or out of order.
func TestRepeatedEventHidesAGap(t *testing.T) {
	for _, misplaced := range []string{"2", "1"} {
		s := NewSequence("", Numbering{Increasing: true, Counting: true})
		s.BeginAnswer()
		_, err := s.Add([]byte(events("1", "2", misplaced)))
		assert.Error(t, err)
		s.BeginAnswer()
		length, err := s.Add([]byte(events("4")))
		assertAdded(t, length, err, "", ErrGap)
	}
}

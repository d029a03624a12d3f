package soak

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

// testEvents returns events of stream c1-1 of version v1 with the given numbers.
func testEvents(numbers ...int) string {
	var b strings.Builder
	for _, n := range numbers {
		b.Write(event{"c1-1", "v1", n}.encode())
	}
	return b.String()
}

// judgeAnswers returns the first breach of a stream of three events that comes in the given answers, the last of which looks complete.
// Each answer is judged in pieces of the given size.
func judgeAnswers(pieceBytes int, answers ...string) BreachKind {
	c := newChecker(prompt{Name: "c1-1", Events: 3})
	for _, answer := range answers {
		c.beginAnswer()
		for len(answer) > 0 {
			n := min(pieceBytes, len(answer))
			if kind, _ := c.add([]byte(answer[:n])); kind != "" {
				return kind
			}
			answer = answer[n:]
		}
	}
	return c.end()
}

func TestCheckerJudgesStreams(t *testing.T) {
	scenarios := []struct {
		name    string
		answers []string
		want    BreachKind
	}{
		{"whole", []string{testEvents(1, 2, 3)}, ""},
		{"resumed after a part of an event", []string{testEvents(1, 2) + "id: 3\ndata", testEvents(3)}, ""},
		{"resumed after all events", []string{testEvents(1, 2, 3), ""}, ""},
		{"begins anew", []string{testEvents(1, 2), testEvents(1, 2, 3)}, Twice},
		{"begins with the last event", []string{testEvents(1, 2), testEvents(2, 3)}, Twice},
		{"leaves one out", []string{testEvents(1), testEvents(3)}, Missing},
		{"goes back", []string{testEvents(1, 0)}, OutOfOrder},
		{"another version", []string{testEvents(1, 2), string(event{"c1-1", "v2", 3}.encode())}, JoinedVersions},
		{"another stream", []string{string(event{"c2-1", "v1", 1}.encode())}, OtherRequest},
		{"an event in an event", []string{"id: 1\ndata: c1-1 v1 " + testEvents(1)}, Damaged},
		{"ends early", []string{testEvents(1, 2)}, EndsEarly},
		{"ends after a comment", []string{testEvents(1, 2) + ": comment\n"}, EndsEarly},
		{"ends inside a comment", []string{testEvents(1, 2) + ": comment"}, EndsInside},
		{"ends inside an event", []string{testEvents(1, 2) + "id: 3"}, EndsInside},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			for _, pieceBytes := range []int{1, 7, 10_000} {
				assert.Equal(t, scenario.want, judgeAnswers(pieceBytes, scenario.answers...), pieceBytes)
			}
		})
	}
}

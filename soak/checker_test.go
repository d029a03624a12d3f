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
		b.Write(event{"c1-1", "v1", n, 0}.encode())
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
		{"another version", []string{testEvents(1, 2), string(event{"c1-1", "v2", 3, 0}.encode())}, JoinedVersions},
		{"another stream", []string{string(event{"c2-1", "v1", 1, 0}.encode())}, OtherRequest},
		{"an event in an event", []string{"id: 1\ndata: c1-1 v1 " + testEvents(1)}, Damaged},
		{"an event of another size", []string{string(event{"c1-1", "v1", 1, 3}.encode())}, Damaged},
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

func TestPlainAnswersAreJudgedWhole(t *testing.T) {
	body := string(plainBody("c1-1", 100))
	scenarios := []struct {
		name, body string
		want       BreachKind
	}{
		{"whole", body, ""},
		{"cut", body[:60], EndsEarly},
		{"empty", "", EndsEarly},
		{"longer", body + "c", Damaged},
		{"of another request", string(plainBody("c2-1", 100)), Damaged},
		{"a part is left out", body[:20] + body[40:], Damaged},
	}
	for _, scenario := range scenarios {
		t.Run(scenario.name, func(t *testing.T) {
			c := &plainChecker{name: "c1-1", size: 100}
			c.beginAnswer()
			kind, _ := c.add([]byte(scenario.body))
			if kind == "" {
				kind = c.end()
			}
			assert.Equal(t, scenario.want, kind)
		})
	}
}

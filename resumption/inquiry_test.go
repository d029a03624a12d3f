package resumption

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestInquiriesAreDecidedByLaterEvidence guards against a caller that takes up a stream on evidence from before it came, or from VMs that do not
// know all versions, and against one that waits for longer than it must.
func TestInquiriesAreDecidedByLaterEvidence(t *testing.T) {
	const waiting, current, outdated = "waiting", "current", "outdated"
	peers := Audience{Heard: []string{"a", "b"}}
	knows, restarted := Answer{ID: 1, Versions: map[string][]string{}}, Answer{ID: 1}
	for name, c := range map[string]struct {
		audience Audience
		answers  map[string]Answer
		// listReadAfter is when the list was last read, counted from when the caller came, and waited for how long it has waited.
		listReadAfter, waited time.Duration
		remembered            bool
		want                  string
	}{
		"nothing":                               {peers, nil, -time.Second, 10 * time.Millisecond, false, waiting},
		"a read from before":                    {peers, map[string]Answer{"a": knows}, -time.Millisecond, answerWait, false, waiting},
		"a later read":                          {peers, nil, time.Millisecond, 10 * time.Millisecond, false, waiting},
		"a later read, peers had time":          {peers, nil, time.Millisecond, answerWait, false, current},
		"a later read and all answers":          {peers, map[string]Answer{"a": knows, "b": knows}, time.Millisecond, 10 * time.Millisecond, false, current},
		"a later read, one does not know all":   {peers, map[string]Answer{"a": knows, "b": restarted}, time.Millisecond, 10 * time.Millisecond, false, current},
		"all answers":                           {peers, map[string]Answer{"a": knows, "b": knows}, -time.Second, 10 * time.Millisecond, false, current},
		"all answers, one does not know all":    {peers, map[string]Answer{"a": knows, "b": restarted}, -time.Second, answerWait, false, waiting},
		"one is silent":                         {Audience{Heard: []string{"a"}, Silent: []string{"b"}}, map[string]Answer{"a": knows}, -time.Second, answerWait, false, waiting},
		"a silent one answers":                  {Audience{Heard: []string{"a"}, Silent: []string{"b"}}, map[string]Answer{"a": knows, "b": knows}, -time.Second, answerWait, false, current},
		"nobody is left":                        {Audience{}, nil, -time.Second, answerWait, false, waiting},
		"there are no others":                   {Audience{Alone: true}, nil, -time.Second, 0, false, current},
		"the stream is remembered":              {peers, nil, -time.Second, 0, true, outdated},
		"the caller has waited for long enough": {peers, nil, -time.Second, inquiryTimeout, false, outdated},
	} {
		t.Run(name, func(t *testing.T) {
			var q Inquiries
			state := waiting
			q.Open(start, "attempt", pool, func(isCurrent bool) {
				if state = outdated; isCurrent {
					state = current
				}
			})
			assert.True(t, q.QuestionDue(start))
			q.TakeQuestion(start, c.audience)
			for peer, answer := range c.answers {
				q.RecordAnswer(answer, peer)
			}
			q.Settle(start.Add(c.waited), Evidence{ListReadAt: start.Add(c.listReadAfter), Remembers: func(string) bool { return c.remembered }, SeveralVersions: func(string) bool { return false }})
			assert.Equal(t, c.want, state)
		})
	}
}

// TestQuestionIsBounded guards against a question for so many streams that its message is not sent.
func TestQuestionIsBounded(t *testing.T) {
	var q Inquiries
	for range maxPageStreams + 1 {
		q.Open(start, "attempt", pool, func(bool) {})
	}
	assert.Len(t, q.TakeQuestion(start, Audience{Alone: true}).Names, maxPageStreams)
	assert.False(t, q.QuestionDue(start), "one question at a time")
	next := start.Add(minQuestionInterval)
	assert.True(t, q.QuestionDue(next))
	assert.Len(t, q.TakeQuestion(next, Audience{Alone: true}).Names, 1)
	assert.False(t, q.QuestionDue(next.Add(time.Hour)), "all have been asked for")
}

package resumption

import (
	"slices"
	"time"
)

const (
	// inquiryTimeout is how long a caller that takes up an unknown stream waits for evidence of where it began.
	inquiryTimeout = 900 * time.Millisecond
	// answerWait is how long peers that are heard have to answer once the list of replicas has been read.
	answerWait = 100 * time.Millisecond
	// minQuestionInterval is the minimum time between two questions to the peers, and questionsPerSecond bounds the messages that carry
	// those of one VM.
	minQuestionInterval = 20 * time.Millisecond
	questionsPerSecond  = 400
)

// Question asks peers for streams. Names holds the hashes of the attempts that began them.
type Question struct {
	ID    uint64
	Names []uint64
}

// Answer is what a peer knows when it is asked: the streams of a question that it remembers, and the versions of each pool at which
// streams may have begun that can still be resumed. Versions is nil if the peer does not know all of them.
type Answer struct {
	ID       uint64
	Streams  Report
	Versions map[string][]string
}

// Audience holds the peers of which an answer may be expected.
type Audience struct {
	// Heard holds those that are heard, and Silent those that are not heard and may be serving.
	Heard, Silent []string
	// Alone is whether there are no other VMs.
	Alone bool
}

// round is one question to all peers.
type round struct {
	id     uint64
	sentAt time.Time
	// heard and silent hold the peers that have not answered, and silent also those that do not know all versions.
	heard, silent []string
	// answered is whether any peer has answered.
	answered bool
}

// heardAll reports whether all peers have answered that were heard when they were asked.
func (r *round) heardAll() bool { return r != nil && len(r.heard) == 0 }

// everyoneAnswered reports whether all peers have answered.
func (r *round) everyoneAnswered() bool { return r.heardAll() && len(r.silent) == 0 && r.answered }

// Inquiry is a caller that takes up a stream of which this VM does not remember where it began. The answer needs evidence from after the
// caller came, as a read index does: however young what is known before is, a replica of another version may have begun the stream since.
type Inquiry struct {
	Attempt, Pool string
	since         time.Time
	round         *round
	// recordsWanted is whether a read of the records of all VMs' streams was asked for.
	recordsWanted bool
	decide        func(current bool)
}

// Evidence is what is known at a moment. Times are those at which reads were sent.
type Evidence struct {
	// ListReadAt is a time of which all that was written to the list of replicas before is known, and RecordsReadAt the same for the records
	// that VMs write of their streams.
	ListReadAt, RecordsReadAt time.Time
	// Remembers reports whether the stream that an attempt began is remembered, and SeveralVersions whether streams of a pool may have begun at
	// several versions.
	Remembers, SeveralVersions func(string) bool
}

// Inquiries holds the open inquiries of a VM, which share the questions to its peers and reads of the list of replicas. It performs no I/O and
// is not safe for concurrent use.
type Inquiries struct {
	open   []*Inquiry
	rounds []*round
	lastID uint64
	askAt  time.Time
}

// Open adds an inquiry. decide is called once, with whether all versions are known at which the stream may have begun, as far as the list of
// replicas or all peers tell.
func (q *Inquiries) Open(now time.Time, attempt, pool string, decide func(current bool)) {
	q.open = append(q.open, &Inquiry{Attempt: attempt, Pool: pool, since: now, decide: decide})
}

// Any reports whether there are open inquiries.
func (q *Inquiries) Any() bool { return len(q.open) > 0 }

// QuestionDue reports whether a question is due to all peers.
func (q *Inquiries) QuestionDue(now time.Time) bool {
	return !now.Before(q.askAt) && slices.ContainsFunc(q.open, func(i *Inquiry) bool { return i.round == nil })
}

// TakeQuestion returns the question that is due to all peers, and counts it as asked.
func (q *Inquiries) TakeQuestion(now time.Time, to Audience) Question {
	peers := len(to.Heard) + len(to.Silent)
	q.askAt = now.Add(max(minQuestionInterval, time.Duration(peers)*time.Second/questionsPerSecond))
	q.lastID++
	asked := &round{id: q.lastID, sentAt: now, heard: slices.Clone(to.Heard), silent: slices.Clone(to.Silent), answered: to.Alone}
	q.rounds = append(slices.DeleteFunc(q.rounds, func(r *round) bool { return now.Sub(r.sentAt) > inquiryTimeout }), asked)
	question := Question{ID: asked.id}
	for _, inquiry := range q.open {
		if inquiry.round == nil && len(question.Names) < maxPageStreams {
			inquiry.round = asked
			question.Names = append(question.Names, nameOf(inquiry.Attempt))
		}
	}
	return question
}

// RecordAnswer records that a peer has answered a question. A peer that does not know all versions, as after its start, can tell of streams, and
// does not count among all VMs that may serve.
func (q *Inquiries) RecordAnswer(answer Answer, peer string) {
	isPeer := func(name string) bool { return name == peer }
	for _, r := range q.rounds {
		if r.id != answer.ID {
			continue
		}
		r.heard, r.silent, r.answered = slices.DeleteFunc(r.heard, isPeer), slices.DeleteFunc(r.silent, isPeer), true
		if answer.Versions == nil {
			r.silent = append(r.silent, peer)
		}
	}
}

// TakeRecordsWanted reports whether the records of all VMs' streams are to be read, since only they may tell where a stream began, and counts
// that as done.
func (q *Inquiries) TakeRecordsWanted(severalVersions func(pool string) bool) (wanted bool) {
	for _, inquiry := range q.open {
		if !inquiry.recordsWanted && severalVersions(inquiry.Pool) {
			inquiry.recordsWanted, wanted = true, true
		}
	}
	return wanted
}

// Settle decides the inquiries for which there is evidence, or that have waited for too long.
func (q *Inquiries) Settle(now time.Time, e Evidence) {
	open := q.open
	q.open = nil
	for _, inquiry := range open {
		current := inquiry.current(now, e)
		recordsRead := !e.SeveralVersions(inquiry.Pool) || !e.RecordsReadAt.Before(inquiry.since)
		if e.Remembers(inquiry.Attempt) || current && recordsRead || now.Sub(inquiry.since) >= inquiryTimeout {
			inquiry.decide(current)
		} else {
			q.open = append(q.open, inquiry)
		}
	}
}

// current reports whether there is evidence from after the caller came of all versions that may have begun the stream: a read of the list, or
// the word of all VMs. What those say that are heard is waited for a moment in any case, since one may remember the stream.
func (i *Inquiry) current(now time.Time, e Evidence) bool {
	if e.ListReadAt.Before(i.since) {
		return i.round.everyoneAnswered()
	}
	return i.round.heardAll() || now.Sub(i.since) >= answerWait
}

// DueIn returns the time until Settle or TakeQuestion may have something to do, without news, at most limit.
func (q *Inquiries) DueIn(now time.Time, limit time.Duration) time.Duration {
	for _, inquiry := range q.open {
		if inquiry.round == nil {
			limit = min(limit, q.askAt.Sub(now))
		}
		if waited := now.Sub(inquiry.since); waited < answerWait {
			limit = min(limit, answerWait-waited)
		} else {
			limit = min(limit, inquiryTimeout-waited)
		}
	}
	return limit
}

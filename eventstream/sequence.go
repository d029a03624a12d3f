package eventstream

import "strconv"

// maxCountedStart is the highest number that the first event of a stream has if the numbers count the events.
const maxCountedStart = 1

// Numbering is what is known of the IDs of the events of a pool's streams.
type Numbering struct {
	// Increasing is whether the IDs are numbers, each higher than the one before it.
	Increasing bool
	// Counting is whether IDs that are numbers count the events, so that an upstream which goes on with a stream begins with the next
	// number.
	Counting bool
}

// Sequence follows the events that the caller of one stream gets, from one upstream after the other. An upstream that goes on with a
// stream is told the ID of the last event, and its first event must follow that one. It is not safe for concurrent use.
type Sequence struct {
	numbering Numbering
	// last is the ID of the last event that has one, and isNumber whether it is a number.
	last     string
	isNumber bool
	// number is the last number, if hasNumber.
	number    uint64
	hasNumber bool
	// followed is whether an event with an ID has been added.
	followed bool
	// joining is whether the next event is the first of an upstream that goes on with the stream, and first the ID of that event.
	joining bool
	first   string
	// unidentified is whether events without an ID follow the last one that has one.
	unidentified bool
	steps        Steps
}

// Steps counts the pairs of successive events in the answers of single upstreams whose IDs are numbers.
type Steps struct {
	// All is the number of pairs, and Skipping of those in which numbers are left out.
	All, Skipping int
}

// NewSequence returns the Sequence of a stream whose caller has the events up to the one with lastID, or none if lastID is empty.
func NewSequence(lastID string, numbering Numbering) Sequence {
	s := Sequence{numbering: numbering}
	if lastID != "" {
		s.setLast(lastID)
	}
	return s
}

// LastID returns the ID of the last event, or an empty string if none has had one.
func (s *Sequence) LastID() string { return s.last }

// FirstID returns the ID of the first event of the upstream, or an empty string.
func (s *Sequence) FirstID() string { return s.first }

// Joining reports whether the next event is the first of an upstream that goes on with the stream.
func (s *Sequence) Joining() bool { return s.joining }

// Followed reports whether an event with an ID has been added. Until then, only the caller has said where the stream goes on.
func (s *Sequence) Followed() bool { return s.followed }

// CanResume reports whether it can be told that another upstream goes on after the last event.
func (s *Sequence) CanResume() bool { return !s.unidentified && (!s.followed || s.isNumber) }

// Steps returns the pairs of successive events so far.
func (s *Sequence) Steps() Steps { return s.steps }

// BeginAnswer says that the next event comes from another upstream, which has been told LastID.
func (s *Sequence) BeginAnswer() { s.joining, s.first = s.last != "", "" }

// Add adds complete events. It returns the length in bytes of those that may follow the events before them, and an *Error if those are not
// all.
func (s *Sequence) Add(events []byte) (int, error) {
	length := 0
	for length < len(events) {
		e, n := cutEvent(events[length:])
		if err := s.addEvent(e); err != nil {
			return length, err
		}
		length += n
	}
	return length, nil
}

func (s *Sequence) addEvent(e event) error {
	if e.id == "" {
		return s.addUnidentified(e)
	}
	if kind := s.compare(e.id); kind != "" {
		return s.errorOf(kind, e)
	}
	if s.first == "" {
		s.first = e.id
	}
	s.setLast(e.id)
	s.followed, s.joining, s.unidentified = true, false, false
	return nil
}

// addUnidentified adds an event without an ID. Only comments may come before the first event of an upstream that goes on with a stream:
// anything else is not known to belong to it.
func (s *Sequence) addUnidentified(e event) error {
	if s.joining && e.hasFields {
		return s.errorOf(ErrNoID, e)
	}
	s.unidentified = s.unidentified || e.hasData
	return nil
}

// compare returns why an event with an ID must not follow the last one, or an empty string if it may.
func (s *Sequence) compare(id string) ErrorKind {
	number, isNumber := parseID(id)
	switch {
	case s.last == "":
		s.numbering.Counting = s.numbering.Counting && isNumber && number <= maxCountedStart
		return ""
	case s.joining:
		return s.compareJoint(id, number, isNumber)
	case isNumber && s.hasNumber:
		return s.compareStep(number)
	}
	return ""
}

// compareJoint is compare for the first event of an upstream that goes on with the stream.
func (s *Sequence) compareJoint(id string, number uint64, isNumber bool) ErrorKind {
	switch {
	case !isNumber || !s.isNumber:
		return s.compareText(id)
	case number == s.number:
		return ErrRepeated
	case number < s.number:
		return ErrBackward
	case number > s.number+1 && s.numbering.Counting:
		return ErrGap
	}
	return ""
}

// compareText is compareJoint for IDs that are no numbers, which only tell whether they are the same. Where the caller itself has named the
// last event, the upstream has to know whether it can go on.
func (s *Sequence) compareText(id string) ErrorKind {
	switch {
	case id == s.last:
		return ErrRepeated
	case s.followed:
		return ErrIncomparable
	}
	return ""
}

// compareStep is compare for events of one upstream whose IDs are numbers. It learns whether they count the events.
func (s *Sequence) compareStep(number uint64) ErrorKind {
	if number > s.number {
		s.steps.All++
		if number > s.number+1 {
			s.steps.Skipping++
			s.numbering.Counting = false
		}
		return ""
	}
	switch {
	case !s.numbering.Increasing:
		s.numbering.Counting = false
		return ""
	case number == s.number:
		return ErrRepeated
	}
	return ErrBackward
}

func (s *Sequence) setLast(id string) {
	number, isNumber := parseID(id)
	s.last, s.isNumber = id, isNumber
	if isNumber {
		s.number, s.hasNumber = number, true
	}
}

func (s *Sequence) errorOf(kind ErrorKind, e event) error {
	return &Error{Op: "follow stream", Kind: kind, Last: s.last, Next: e.id}
}

// parseID returns the value of an ID that is a number.
func parseID(id string) (uint64, bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	return number, err == nil
}

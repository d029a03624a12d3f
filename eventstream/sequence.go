package eventstream

import "strconv"

// maxCountedStart is the highest ID of the first event of a stream that may be its number.
const maxCountedStart = 1

// Sequence follows the events that the caller of one stream gets, from one upstream after the other. An upstream that goes on with a
// stream is told the ID of the last event; what it sends must follow that event. The zero value is a stream without events. It is not safe
// for concurrent use.
type Sequence struct {
	// last is the ID of the last event that has one, and number its value if numeric.
	last    string
	number  uint64
	numeric bool
	// counted is whether the IDs are the numbers of the events, as far as is known: they begin with 0 or 1 and no upstream has left one out
	// within its answer.
	counted bool
	// followed is whether an event with an ID has been added.
	followed bool
	// joining is whether the next event is the first of an upstream that goes on with the stream, and first the ID of the first event of
	// the upstream.
	joining bool
	first   string
	// unidentified is whether events without an ID follow the last one that has one.
	unidentified bool
}

// Resume returns the Sequence of a stream whose caller already has the events up to the one with lastID. It is the zero value if lastID is
// empty. counted is whether the IDs of such streams are the numbers of their events.
func Resume(lastID string, counted bool) Sequence {
	var s Sequence
	if lastID != "" {
		s.counted = counted
		s.setLast(lastID)
	}
	return s
}

// LastID returns the ID of the last event, or an empty string if none has had one.
func (s *Sequence) LastID() string { return s.last }

// CanResume reports whether another upstream can go on after the last event.
func (s *Sequence) CanResume() bool { return !s.unidentified }

// SkipsNumbers reports whether the IDs are known not to be the numbers of the events.
func (s *Sequence) SkipsNumbers() bool { return s.followed && !s.counted }

// Joining reports whether the next event is the first of an upstream that goes on with the stream.
func (s *Sequence) Joining() bool { return s.joining }

// FirstID returns the ID of the first event of the upstream, or an empty string.
func (s *Sequence) FirstID() string { return s.first }

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

// addUnidentified adds an event without an ID.
func (s *Sequence) addUnidentified(e event) error {
	if !e.hasData {
		return nil
	}
	if s.joining {
		return s.errorOf(ErrNoID, e)
	}
	s.unidentified = true
	return nil
}

// compare returns why an event with an ID must not follow the last one, or an empty string if it may. It learns whether the IDs count the
// events.
func (s *Sequence) compare(id string) ErrorKind {
	number, numeric := parseID(id)
	switch {
	case s.last == "":
		s.counted = numeric && number <= maxCountedStart
	case !numeric || !s.numeric:
		return s.compareText(id)
	case number == s.number:
		return ErrRepeated
	case number < s.number:
		return ErrBackward
	case number > s.number+1:
		if s.joining && s.counted {
			return ErrGap
		}
		s.counted = false
	}
	return ""
}

// compareText is compare for IDs of which one is no number. They only tell whether they are the same. Where the caller itself has named the last
// event, the upstream has to know whether it can go on.
func (s *Sequence) compareText(id string) ErrorKind {
	s.counted = false
	switch {
	case !s.joining:
		return ""
	case id == s.last:
		return ErrRepeated
	case s.followed:
		return ErrIncomparable
	}
	return ""
}

func (s *Sequence) setLast(id string) {
	s.last = id
	s.number, s.numeric = parseID(id)
}

func (s *Sequence) errorOf(kind ErrorKind, e event) error {
	return &Error{Op: "follow stream", Kind: kind, Last: s.last, Next: e.id}
}

// parseID returns the value of an ID that is a number.
func parseID(id string) (uint64, bool) {
	number, err := strconv.ParseUint(id, 10, 64)
	return number, err == nil
}

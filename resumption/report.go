package resumption

import (
	"cmp"
	"encoding/json"
	"slices"
)

// Report holds streams that have begun, by origin. A stream is named by a hash of the ID of the attempt that began it. It is encoded as
// a JSON array with one element for each origin.
type Report map[Origin][]uint64

// reportMessage is the wire format of the streams of one origin.
type reportMessage struct {
	Pool    string   `json:"P"`
	Version string   `json:"V"`
	Names   []uint64 `json:"N"`
}

// MarshalJSON implements json.Marshaler.
func (r Report) MarshalJSON() ([]byte, error) {
	messages := make([]reportMessage, 0, len(r))
	for origin, names := range r {
		messages = append(messages, reportMessage{origin.Pool, origin.Version, names})
	}
	slices.SortFunc(messages, func(a, b reportMessage) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(a.Version, b.Version))
	})
	return json.Marshal(messages)
}

// UnmarshalJSON implements json.Unmarshaler.
func (r *Report) UnmarshalJSON(data []byte) error {
	var messages []reportMessage
	if err := json.Unmarshal(data, &messages); err != nil {
		return err
	}
	*r = Report{}
	for _, m := range messages {
		(*r)[Origin{m.Pool, m.Version}] = m.Names
	}
	return nil
}

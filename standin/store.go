package standin

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Topics of the metadata store.
const (
	topicConfiguration = "keyed.op"
	topicReplicas      = "keyed.servers"
)

// Store is a test double of the users' metadata store, whose topics keep the newest record of each key.
type Store struct {
	faultInjector
	mu     sync.Mutex
	topics map[string]*topic
	calls  map[string]int
	// era rises with each restore, and is named in all answers.
	era uint64
	// silentTopics holds the topics for which requests are not answered.
	silentTopics map[string]bool
}

// topic holds the log of a single-partition topic and the newest record of each key. Records before
// offset first have been dropped from the log.
type topic struct {
	first   uint64
	records []keyedRecord
	newest  map[string]keyedRecord
	changed chan struct{}
}

func (t *topic) clone() *topic {
	return &topic{first: t.first, records: slices.Clone(t.records), newest: maps.Clone(t.newest), changed: make(chan struct{})}
}

type keyedRecord struct {
	offset uint64
	key    string
	value  []byte
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{topics: map[string]*topic{}, calls: map[string]int{}, era: 1}
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyedRecord{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// Put appends a record for a key. An empty value removes the key.
func (s *Store) Put(topicName, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(topicName, key, value)
}

// put is Put for callers that hold s.mu.
func (s *Store) put(topicName, key string, value []byte) {
	t := s.topic(topicName)
	record := keyedRecord{offset: t.end(), key: key, value: value}
	t.records = append(t.records, record)
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = record
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// PutRecord appends a record.
func (s *Store) PutRecord(r StoreRecord) { s.Put(r.Topic, r.Key, encodeRecord(r.Value)) }

// encodeRecord encodes a value as JSON, and nil as no value. It panics if value can't be encoded.
func encodeRecord(value any) []byte {
	if value == nil {
		return nil
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// Configure publishes a configuration.
func (s *Store) Configure(configuration any) { s.PutRecord(ConfigurationRecord(configuration)) }

// PutReplica publishes the entry of a replica, or removes the replica if entry is nil.
func (s *Store) PutReplica(id string, entry any) { s.PutRecord(ReplicaRecord(id, entry)) }

// TruncateHistory truncates the log of a topic. The newest record of each key stays available.
func (s *Store) TruncateHistory(topicName string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(topicName)
	t.first, t.records = t.end(), nil
}

// StoreCopy is the content of a Store at some time.
type StoreCopy struct {
	topics map[string]*topic
}

// Copy returns a copy of the current content.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{topics: cloneTopics(s.topics)}
}

func cloneTopics(topics map[string]*topic) map[string]*topic {
	clones := map[string]*topic{}
	for name, t := range topics {
		clones[name] = t.clone()
	}
	return clones
}

// StoreRecord is a record that is written to a Store. Value is encoded as JSON; nil removes the key.
type StoreRecord struct {
	Topic, Key string
	Value      any
}

// ConfigurationRecord returns the record with which a configuration is published.
func ConfigurationRecord(configuration any) StoreRecord {
	return StoreRecord{Topic: topicConfiguration, Key: "config", Value: configuration}
}

// ReplicaRecord returns the record with which the entry of a replica is published.
func ReplicaRecord(id string, entry any) StoreRecord {
	return StoreRecord{Topic: topicReplicas, Key: id, Value: entry}
}

// Restore replaces the content by an older copy, starts a new era and writes records before the first answer of that era.
// Whatever was written since the copy is lost, and its offsets are given out again.
func (s *Store) Restore(from StoreCopy, records ...StoreRecord) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.topics
	s.topics = cloneTopics(from.topics)
	s.era++
	for _, record := range records {
		s.put(record.Topic, record.Key, encodeRecord(record.Value))
	}
	for _, t := range old {
		close(t.changed)
	}
}

// Newest returns the newest value of a key, or nil.
func (s *Store) Newest(topicName, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(topicName).newest[key].value
}

// SilenceTopics leaves requests for the given topics unanswered, also those that wait for records, and answers new ones for
// all others again.
func (s *Store) SilenceTopics(topicNames ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentTopics = map[string]bool{}
	for _, name := range topicNames {
		s.silentTopics[name] = true
	}
}

// Calls returns the number of requests received for a path.
func (s *Store) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

func (t *topic) end() uint64 { return t.first + uint64(len(t.records)) }

// Handler serves the store's API, and accepts faults by POST.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/log-newest", s.countCalls(s.handleNewest))
	mux.HandleFunc("GET /api/log-read", s.countCalls(s.handleRead))
	mux.HandleFunc("POST /api/log-append", s.countCalls(s.handleAppend))
	mux.HandleFunc("POST /faults", s.handleFaults)
	return mux
}

// countCalls wraps next to count calls by path, leave silent topics unanswered and apply faults.
func (s *Store) countCalls(next http.HandlerFunc) http.HandlerFunc {
	wrapped := s.withFaults(next)
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[r.URL.Path]++
		silent := s.silentTopics[r.URL.Query().Get("topic")]
		s.setEra(w)
		s.mu.Unlock()
		if silent {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		wrapped(w, r)
	}
}

// setEra names the current era in an answer. The caller must hold s.mu.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

type newestItem struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset uint64 `json:"offset"`
}

type newestPage struct {
	Items     []newestItem `json:"items"`
	HasMore   bool         `json:"hasMore"`
	EndOffset uint64       `json:"endOffset"`
}

// newestPageSize is the maximum number of records in one page of newest records.
const newestPageSize = 500

func (s *Store) handleNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setEra(w)
	t := s.topic(r.URL.Query().Get("topic"))
	page := newestPage{Items: []newestItem{}, EndOffset: t.end()}
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= r.URL.Query().Get("after") {
			continue
		}
		if len(page.Items) == newestPageSize {
			page.HasMore = true
			break
		}
		record := t.newest[key]
		page.Items = append(page.Items, newestItem{Key: key, Value: record.value, Offset: record.offset})
	}
	writeJSON(w, page)
}

func (s *Store) handleRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if s.silentTopics[r.URL.Query().Get("topic")] {
			s.mu.Unlock()
			<-r.Context().Done()
			return
		}
		t := s.topic(r.URL.Query().Get("topic"))
		changed := t.changed
		if from < t.first || from > t.end() {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]uint64{"firstOffset": t.first})
			return
		}
		if from < t.end() || wait == 0 {
			data := t.encode(from)
			s.mu.Unlock()
			_, _ = w.Write(data)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
			if faults := s.Faults(); faults.Down || faults.Silent {
				panic(http.ErrAbortHandler)
			}
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// encode returns the binary answer to a read: the end offset, the first offset, and the records
// starting at offset from, each with its length and key length.
func (t *topic) encode(from uint64) []byte {
	data := binary.BigEndian.AppendUint64(nil, t.end())
	data = binary.BigEndian.AppendUint64(data, t.first)
	for _, record := range t.records[min(from-t.first, uint64(len(t.records))):] {
		data = binary.BigEndian.AppendUint32(data, uint32(1+len(record.key)+len(record.value)))
		data = append(data, byte(len(record.key)))
		data = append(data, record.key...)
		data = append(data, record.value...)
	}
	return data
}

func (s *Store) handleAppend(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("topic")
	if name == topicConfiguration || name == topicReplicas {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	first := s.topic(name).end()
	s.mu.Unlock()
	for len(body) > 4 {
		length := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+length]
		body = body[4+length:]
		keyLength := int(record[0])
		s.Put(name, string(record[1:1+keyLength]), record[1+keyLength:])
	}
	writeJSON(w, map[string]uint64{"offset": first, "endOffset": first + 1})
}

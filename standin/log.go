package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Log is a test double of the platform's append-only log. It holds a single stream and ignores
// the stream name in the path.
type Log struct {
	faultInjector
	mu        sync.Mutex
	first     uint64
	entries   []logEntry
	retention time.Duration
	changed   chan struct{}
	appends   int
}

type logEntry struct {
	Offset       uint64
	AtUnixMillis int64
	Data         []byte
}

// NewLog returns an empty log. Records older than retention are dropped; 0 keeps them forever.
func NewLog(retention time.Duration) *Log {
	return &Log{first: 1, retention: retention, changed: make(chan struct{})}
}

// Appends returns the number of executed append requests.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Expire drops all records with an offset lower than below.
func (l *Log) Expire(below uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expireBelow(below)
}

// Head returns the offset of the next record to be appended.
func (l *Log) Head() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.head()
}

func (l *Log) head() uint64 { return l.first + uint64(len(l.entries)) }

func (l *Log) expireBelow(below uint64) {
	for len(l.entries) > 0 && l.first < below {
		l.entries = l.entries[1:]
		l.first++
	}
}

func (l *Log) expireOld(now time.Time) {
	if l.retention == 0 {
		return
	}
	oldest := now.Add(-l.retention).UnixMilli()
	for len(l.entries) > 0 && l.entries[0].AtUnixMillis < oldest {
		l.entries = l.entries[1:]
		l.first++
	}
}

// Handler serves appends and long-poll reads, and accepts faults by POST.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{stream}/records", l.withFaults(l.handleAppend))
	mux.HandleFunc("GET /streams/{stream}/records", l.withFaults(l.handleRead))
	mux.HandleFunc("POST /faults", l.handleFaults)
	return mux
}

func (l *Log) handleAppend(w http.ResponseWriter, r *http.Request) {
	var body struct{ Records [][]byte }
	if !readJSON(w, r, &body) {
		return
	}
	writeJSON(w, map[string]uint64{"First": l.append(body.Records)})
}

func (l *Log) append(records [][]byte) uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.expireOld(now)
	first := l.head()
	for _, data := range records {
		l.entries = append(l.entries, logEntry{Offset: l.head(), AtUnixMillis: now.UnixMilli(), Data: data})
	}
	l.appends++
	close(l.changed)
	l.changed = make(chan struct{})
	return first
}

func (l *Log) handleRead(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseUint(r.FormValue("From"), 10, 64)
	limit, _ := strconv.Atoi(r.FormValue("Max"))
	wait, _ := strconv.Atoi(r.FormValue("WaitMillis"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		l.mu.Lock()
		l.expireOld(time.Now())
		changed, empty := l.changed, from >= l.head()
		l.mu.Unlock()
		if !empty {
			break
		}
		select {
		case <-changed:
			continue
		case <-deadline:
		case <-r.Context().Done():
			return
		}
		break
	}
	writeJSON(w, l.read(from, limit))
}

type logBatch struct {
	First, Head uint64
	Records     []logEntry
}

func (l *Log) read(from uint64, limit int) logBatch {
	l.mu.Lock()
	defer l.mu.Unlock()
	batch := logBatch{First: l.first, Head: l.head()}
	if from < l.first {
		from = l.first
	}
	if from < l.head() {
		batch.Records = l.entries[from-l.first:]
	}
	if limit > 0 && len(batch.Records) > limit {
		batch.Records = batch.Records[:limit]
	}
	return batch
}

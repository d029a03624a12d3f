package ledger

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/cassiabridge/cassiabridge/catalog"
)

// Log reads and appends to one stream of the platform's append-only log.
type Log struct {
	client client
	path   string
}

// Batch is the result of one read of the log.
type Batch struct {
	// First is the oldest offset that the log retains.
	First uint64
	// Head is the offset that the next appended record will get.
	Head    uint64
	Entries []catalog.Entry
}

type appendRequest struct {
	Records [][]byte
}

type appendAnswer struct {
	First uint64
}

type readAnswer struct {
	First   uint64
	Head    uint64
	Records []readRecord
}

type readRecord struct {
	Offset       uint64
	AtUnixMillis int64
	Data         []byte
}

// NewLog returns a client for the named stream, and a function that closes its idle connections.
func NewLog(base, stream string) (*Log, func()) {
	l := &Log{client: newClient(base), path: "/streams/" + url.PathEscape(stream) + "/records"}
	return l, l.client.close
}

// Append appends records atomically and in order, and returns the offset of the first. After an Error of
// kind ErrUnknown the records may have been appended.
func (l *Log) Append(ctx context.Context, records [][]byte) (uint64, error) {
	var answer appendAnswer
	err := l.client.call(ctx, "append", http.MethodPost, l.path, appendRequest{Records: records}, &answer)
	return answer.First, err
}

// Read returns up to limit entries, starting at offset from. At the head of the log it waits up to wait
// for the next entry.
func (l *Log) Read(ctx context.Context, from uint64, limit int, wait time.Duration) (Batch, error) {
	var answer readAnswer
	path := fmt.Sprintf("%s?From=%d&Max=%d&WaitMillis=%d", l.path, from, limit, wait.Milliseconds())
	if err := l.client.call(ctx, "read log", http.MethodGet, path, nil, &answer); err != nil {
		return Batch{}, err
	}
	batch := Batch{First: answer.First, Head: answer.Head}
	for _, r := range answer.Records {
		batch.Entries = append(batch.Entries, catalog.Entry{Offset: r.Offset, At: time.UnixMilli(r.AtUnixMillis).UTC(), Data: r.Data})
	}
	return batch, nil
}

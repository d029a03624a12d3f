// Package site runs a small deployment for the cases of the review: the router's processes as the deploy file starts
// them, the platform's store, and servers and clients that follow the platform's pages. Everything listens on loopback.
package site

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu        sync.Mutex
	file      *os.File
	startedAt time.Time
}

// NewRecord creates the file and returns a function that closes it.
func NewRecord(path string) (*Record, func(), error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, nil, &Error{Op: "create record", Err: err}
	}
	return &Record{file: file, startedAt: time.Now()}, func() { _ = file.Close() }, nil
}

// Printf writes one line with the seconds since the start of the case.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f s  %s\n", time.Since(r.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// Sayf writes a line to the record and to the standard output.
func (r *Record) Sayf(format string, args ...any) {
	r.Printf(format, args...)
	fmt.Println(fmt.Sprintf(format, args...))
}

package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the file in which a case writes what was sent, answered and run.
type Record struct {
	mutex sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates record.txt in the folder.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Logf writes one line with the time since the start, in seconds.
func (r *Record) Logf(format string, arguments ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, arguments...)...)
}

// Printf writes a line to the record and to standard output.
func (r *Record) Printf(format string, arguments ...any) {
	r.Logf(format, arguments...)
	fmt.Printf(format+"\n", arguments...)
}

// Close closes the file.
func (r *Record) Close() { r.file.Close() }

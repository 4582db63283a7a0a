package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to the record of a case.
type recorder struct {
	mutex   sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, writer: bufio.NewWriter(file), started: time.Now()}, nil
}

// now returns the time since the start of the case.
func (r *recorder) now() time.Duration { return time.Since(r.started) }

func (r *recorder) log(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.writer, "%9.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

func (r *recorder) close() {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}

package hemlocknet

import (
	"io"
	"net"
	"testing"
)

// Guards against a write that starts after the connection was reported as unwritten.
func TestWriteFailsAfterCloseIfUnwritten(t *testing.T) {
	near, far := net.Pipe()
	connection := NewConn(near)
	count := connection.WriteCount()
	received := make(chan []byte, 1)
	go func() {
		data, _ := io.ReadAll(far)
		received <- data
	}()
	if !connection.CloseIfUnwritten(count) {
		t.Fatal("nothing was written, but CloseIfUnwritten returned false")
	}
	// The wrapped connection is replaced by an open one, so that only Conn itself can make the write fail.
	inner, other := net.Pipe()
	defer func() { _ = other.Close() }()
	connection.Conn = inner
	go func() { _, _ = io.Copy(io.Discard, other) }()
	if _, err := connection.Write([]byte("late")); err == nil {
		t.Fatal("a write succeeded after CloseIfUnwritten")
	}
	if data := <-received; len(data) != 0 {
		t.Fatalf("%q was written", data)
	}
}

// Guards against a connection that is reported as unwritten after a write has started, whether or not the write
// succeeded.
func TestCloseIfUnwrittenSeesFailedWrite(t *testing.T) {
	near, far := net.Pipe()
	_ = far.Close()
	connection := NewConn(near)
	count := connection.WriteCount()
	if _, err := connection.Write([]byte("x")); err == nil {
		t.Fatal("a write succeeded although the other end is closed")
	}
	if connection.CloseIfUnwritten(count) {
		t.Fatal("a write was started, but CloseIfUnwritten returned true")
	}
}

package hemlocknet

import (
	"io"
	"net"
	"testing"
)

// Guards against a write that starts after the connection was reported as unwritten.
func TestSealedConnectionWritesNothing(t *testing.T) {
	near, far := net.Pipe()
	connection := NewConn(near)
	mark := connection.WriteCount()
	received := make(chan []byte, 1)
	go func() {
		data, _ := io.ReadAll(far)
		received <- data
	}()
	if !connection.CloseIfUnwritten(mark) {
		t.Fatal("nothing was written, but the connection does not say so")
	}
	// The inner connection of the write is another one, so that only the seal can stop it.
	inner, other := net.Pipe()
	defer func() { _ = other.Close() }()
	connection.Conn = inner
	go func() { _, _ = io.Copy(io.Discard, other) }()
	if _, err := connection.Write([]byte("late")); err == nil {
		t.Fatal("a sealed connection was written to")
	}
	if data := <-received; len(data) != 0 {
		t.Fatalf("%q was written", data)
	}
}

// Guards against a report as unwritten after a write has started, whether or not it succeeded.
func TestWrittenConnectionIsNotSealed(t *testing.T) {
	near, far := net.Pipe()
	_ = far.Close()
	connection := NewConn(near)
	mark := connection.WriteCount()
	if _, err := connection.Write([]byte("x")); err == nil {
		t.Fatal("a write without reader succeeded")
	}
	if connection.CloseIfUnwritten(mark) {
		t.Fatal("a write was started, but the connection says that none was")
	}
}

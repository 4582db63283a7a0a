package hemlocknet

import "testing"

// Guards against an address that nothing can be connected to and that is taken for that of a node or target.
func TestValidAddress(t *testing.T) {
	for text, want := range map[string]bool{
		"10.0.0.1:80": true, "[::1]:65535": true, "10.0.0.1:65536": false, "10.0.0.1:99999": false, "10.0.0.1:-1": false,
		"10.0.0.1:0": false, "10.0.0.1": false, "10.0.0.1:1e3": false, "host:80": false, "": false, ":80": false,
		"10.0.0.1:80\r\nX: y": false, "10.0.0.1:18446744073709551617": false,
	} {
		if got := ValidAddress(text); got != want {
			t.Errorf("%q: %v, want %v", text, got, want)
		}
	}
}

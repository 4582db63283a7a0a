package hemlocknet

import "net/netip"

// ValidAddress reports whether a text is an IP address with a port that can be connected to.
func ValidAddress(text string) bool {
	address, err := netip.ParseAddrPort(text)
	return err == nil && address.Port() > 0
}

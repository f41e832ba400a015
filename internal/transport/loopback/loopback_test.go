package loopback

import (
	"net"
	"testing"
)

// TestReserve guards against an address that another process takes between its
// reservation and its use: the system assigns none of the reserved ports, and no
// address is returned twice.
func TestReserve(t *testing.T) {
	seen := map[string]bool{}
	for range 200 {
		address, err := Reserve()
		if err != nil {
			t.Fatal(err)
		}
		if seen[address] {
			t.Fatalf("%s is returned twice", address)
		}
		seen[address] = true
		ip, _, err := net.SplitHostPort(address)
		if err != nil || !net.ParseIP(ip).IsLoopback() {
			t.Fatalf("address %q: %v", address, err)
		}
		assigned, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		if err != nil {
			t.Fatal(err)
		}
		defer assigned.Close()
		if port := assigned.Addr().(*net.TCPAddr).Port; port <= lastPort {
			t.Fatalf("the system assigns port %d", port)
		}
	}
}

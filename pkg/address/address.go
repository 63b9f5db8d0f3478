// Package address checks network addresses from outside: an IP address and a port. Host names
// aren't resolved.
package address

import (
	"net/netip"

	"github.com/pkg/errors"
)

// Check returns an error for an address that nothing can listen on.
func Check(text string) error {
	if a, err := netip.ParseAddrPort(text); err != nil || a.Port() == 0 {
		return errors.Errorf("found %.60q, expected an IP address and a port from 1 to 65535", text)
	}
	return nil
}

// CheckListen returns an error for an address that a listener can't be opened on. Port 0 stands
// for any free one.
func CheckListen(text string) error {
	if _, err := netip.ParseAddrPort(text); err != nil {
		return errors.Errorf("found %.60q, expected an IP address and a port up to 65535", text)
	}
	return nil
}

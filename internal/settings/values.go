package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
)

// single adapts the setter of a single value to a list of exactly one.
func single(set func(s *Settings, value string) error) func(*Settings, []string) error {
	return func(s *Settings, values []string) error {
		if len(values) != 1 {
			return errors.Newf("%d values, want one", len(values))
		}
		return set(s, values[0])
	}
}

func setName(to *string, value string) error {
	if value == "" || len(value) > maxNameBytes {
		return errors.Newf("%d bytes, want 1 to %d", len(value), maxNameBytes)
	}
	for _, r := range value {
		isLetter := r >= 'a' && r <= 'z'
		isDigit := r >= '0' && r <= '9'
		if !isLetter && !isDigit && r != '-' {
			return errors.Newf("%q contains %q; use a to z, 0 to 9 and -", value, r)
		}
	}
	*to = value
	return nil
}

func setSteering(to *Steering, value string) error {
	switch s := Steering(value); s {
	case SteeringOwner, SteeringToken:
		*to = s
		return nil
	}
	return errors.Newf("%q is neither %s nor %s", value, SteeringOwner, SteeringToken)
}

func setAddrPort(to *netip.AddrPort, value string) error {
	addr, err := netip.ParseAddrPort(value)
	if err != nil {
		return errors.Newf("%q is not an IP address with a port", value)
	}
	if addr.Port() == 0 {
		return errors.Newf("%q has port 0", value)
	}
	if addr.Addr().IsUnspecified() || addr.Addr().IsMulticast() {
		return errors.Newf("%q is not a unicast address", value)
	}
	*to = addr
	return nil
}

func setAddrPorts(to *[]netip.AddrPort, values []string) error {
	list := make([]netip.AddrPort, len(values))
	for i, value := range values {
		if err := setAddrPort(&list[i], value); err != nil {
			return err
		}
	}
	*to = list
	return nil
}

func setPrefixes(to *[]netip.Prefix, values []string) error {
	list := make([]netip.Prefix, len(values))
	for i, value := range values {
		prefix, err := netip.ParsePrefix(value)
		if err != nil {
			return errors.Newf("%q is not an IP prefix", value)
		}
		if prefix.Masked() != prefix {
			return errors.Newf("%q has host bits set; want %s", value, prefix.Masked())
		}
		list[i] = prefix
	}
	*to = list
	return nil
}

func setURL(to *string, value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.Newf("%q is not an http or https URL", value)
	}
	*to = value
	return nil
}

func setBool(to *bool, value string) error {
	switch value {
	case "true":
		*to = true
	case "false":
		*to = false
	default:
		return errors.Newf("%q is neither true nor false", value)
	}
	return nil
}

func setInt(to *int, value string, lowest, highest int) error {
	n, err := strconv.Atoi(value)
	if err != nil {
		return errors.Newf("%q is not a whole number", value)
	}
	if n < lowest || n > highest {
		return errors.Newf("%d is out of range, want %d to %d", n, lowest, highest)
	}
	*to = n
	return nil
}

// setMbps parses a bandwidth in Mbit/s, which may have decimals that are cut off.
func setMbps(to *int, value string) error {
	mbps, err := strconv.ParseFloat(value, 64)
	if err != nil {
		return errors.Newf("%q is not a number", value)
	}
	if !(mbps >= 0 && mbps <= maxLinkMbps) { // not a number is out of range, too
		return errors.Newf("%s is out of range, want 0 to %d", value, maxLinkMbps)
	}
	*to = int(mbps)
	return nil
}

func setDuration(to *time.Duration, value string, lowest, highest time.Duration) error {
	d, err := time.ParseDuration(value)
	if err != nil {
		return errors.Newf("%q is not a duration such as 500ms or 10s", value)
	}
	if d < lowest || d > highest {
		return errors.Newf("%s is out of range, want %s to %s", d, lowest, highest)
	}
	*to = d
	return nil
}

func setLevel(to *zerolog.Level, value string) error {
	switch value {
	case "debug", "info", "warn", "error":
	default:
		return errors.Newf("%q is not one of debug, info, warn, error", value)
	}
	level, err := zerolog.ParseLevel(value)
	if err != nil {
		return errors.Wrap(err, fmt.Sprintf("%q", value))
	}
	*to = level
	return nil
}

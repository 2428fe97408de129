// Package e2e contains the end-to-end tests: balancers run as separate processes
// on loopback addresses, with fakes of the fabric, the targets, the callers and
// the platform.
package e2e

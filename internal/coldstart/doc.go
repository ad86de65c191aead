// Package coldstart decides how a router that knows nothing becomes able to serve calls.
//
// The package has no I/O and no clock.
package coldstart

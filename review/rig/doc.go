// Package rig holds the stand-ins of the review's cases: the platform with its store and its readiness checks, runners and
// callers. Routers are real processes of the project, started as the deploy file says. All addresses are loopback addresses.
package rig

package placement

// LeaveReason is why a request goes to a runner outside the region of its sender. Routers exchange the
// numeric value, so it must not change.
type LeaveReason uint8

const (
	// NotLeft means that the request stays in its region, or that there are no regions.
	NotLeft LeaveReason = iota
	// Sooner means that the request is expected to begin sooner in the other region.
	Sooner
	// Full means that no runner of the region has a free slot.
	Full
	// NoRunnerInRegion means that no runner of the region can serve the request.
	NoRunnerInRegion
)

// String returns the reason's name as it appears in metrics and logs, empty for NotLeft and for
// reasons that this build doesn't know.
func (r LeaveReason) String() string {
	names := [...]string{"", "sooner", "full", "no_runner"}
	if int(r) >= len(names) {
		return ""
	}
	return names[r]
}

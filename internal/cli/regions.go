package cli

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"

	"github.com/clovertiller/clovertiller/internal/gateway"
)

// regionScheduler is a scheduler of a region as the gateways of that region see it.
type regionScheduler struct {
	region, address string
	seed            bool
	// listedBy is the number of gateways that list the scheduler, and answers of those that it answers.
	listedBy, answers int
}

// regionSchedulers returns the schedulers that the gateways list, by region and in the order in which
// they are asked.
func regionSchedulers(statuses []*gateway.Status) []*regionScheduler {
	var schedulers []*regionScheduler
	for _, status := range statuses {
		for _, listed := range status.Schedulers {
			at := slices.IndexFunc(schedulers, func(s *regionScheduler) bool {
				return s.region == status.Region && s.address == listed.Address
			})
			if at < 0 {
				at = len(schedulers)
				schedulers = append(schedulers, &regionScheduler{region: status.Region, address: listed.Address, seed: listed.Seed})
			}
			schedulers[at].listedBy++
			if listed.Answers {
				schedulers[at].answers++
			}
		}
	}
	slices.SortStableFunc(schedulers, func(a, b *regionScheduler) int { return cmp.Compare(a.region, b.region) })
	return schedulers
}

// printRegionTable prints the schedulers of each region as its gateways see them, and the numbers of
// schedulers by region as the first seed sees them. It prints nothing without regions.
func printRegionTable(env *Env, statuses []*gateway.Status) {
	if schedulers := regionSchedulers(statuses); len(schedulers) > 0 {
		fmt.Fprintln(env.Out, "\nschedulers")
		table := tabwriter.NewWriter(env.Out, 0, 4, 2, ' ', 0)
		fmt.Fprintln(table, "REGION\tSCHEDULER\tKIND\tANSWERS")
		for _, s := range schedulers {
			kind := "standby"
			if s.seed {
				kind = "seed"
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t%d of %d routers\n", s.region, s.address, kind, s.answers, s.listedBy)
		}
		table.Flush()
	}
	for _, status := range statuses {
		if len(status.SchedulersByRegion) == 0 {
			continue
		}
		fmt.Fprintf(env.Out, "\nschedulers by region at %s:", status.Node)
		for _, region := range slices.Sorted(maps.Keys(status.SchedulersByRegion)) {
			fmt.Fprintf(env.Out, " %s=%d", region, status.SchedulersByRegion[region])
		}
		fmt.Fprintln(env.Out)
		return
	}
}

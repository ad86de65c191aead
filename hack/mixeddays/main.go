// Command mixeddays generates test days for the users' bench. A day combines random faults
// and planned changes of all kinds that the bench has, at random times, some of them twice, and
// always includes a fault of the store. Its traffic is that of a day in the site file.
//
// usage: go run ./hack/mixeddays SITE_FILE DAY SEED COUNT FOLDER
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
)

// Latest start times of faults and planned changes, in seconds from the start of the traffic.
// Faults of the store must be over before the traffic ends, because the bench reads the
// configuration back at that time.
const (
	latestStart      = 32
	latestStoreStart = 24
)

// Bounds of the number of faults and planned changes of a day, not counting the store fault.
const (
	minEntries = 4
	maxEntries = 8
)

// repeatProbability is the probability that a fault or planned change occurs twice.
const repeatProbability = 0.3

// storeFaults are faults of the store and of the connections to it.
var storeFaults = []string{
	`kind = "platform_down", how = "nodes", share = 0.35, for_s = 6.0`,
	`kind = "platform_down", how = "nodes busy", share = 0.6, for_s = 7.0`,
	`kind = "platform_down", how = "nodes many", share = 0.4, for_s = 6.0`,
	`kind = "platform_down", how = "nodes reset leader", share = 0.3, for_s = 5.0`,
	`kind = "platform_down", how = "nodes revoke", share = 0.5, for_s = 8.0`,
	`kind = "platform_down", how = "silent", for_s = 5.0`,
	`kind = "platform_down", how = "busy", for_s = 5.0`,
	`kind = "platform_down", how = "reset", for_s = 4.0`,
	`kind = "platform_slow", x = 60.0, for_s = 6.0`,
	`kind = "platform_lost", x = 0.4, for_s = 8.0`,
	`kind = "platform_lost", x = 0.4, how = "late", for_s = 8.0`,
	`kind = "platform_compact", x = 5.0, for_s = 10.0, how = "drain"`,
	`kind = "core_cut", count = 2, for_s = 5.0`,
	`kind = "core_cut", count = 1, how = "one_way", for_s = 6.0`,
	`kind = "core_cut", how = "leader race", for_s = 4.0`,
}

// otherFaults are faults of machines, runners, connections and callers.
var otherFaults = []string{
	`kind = "burst", x = 1.8, for_s = 4.0`,
	`kind = "retry_abuse", x = 3.0, share = 0.3, for_s = 5.0`,
	`kind = "give_up", share = 0.3, for_s = 5.0`,
	`kind = "srv_crash", share = 0.2, for_s = 5.0`,
	`kind = "srv_crash", share = 0.15, how = "dark", for_s = 6.0`,
	`kind = "srv_crash", share = 0.12, how = "gone", for_s = 5.0`,
	`kind = "srv_grey", share = 0.2, how = "hang", x = 0.4, for_s = 5.0`,
	`kind = "srv_grey", share = 0.2, how = "mute", x = 0.4, for_s = 5.0`,
	`kind = "srv_grey", share = 0.2, how = "shed", x = 0.5, for_s = 5.0`,
	`kind = "srv_grey", share = 0.2, how = "reset one_zone", x = 0.5, for_s = 5.0`,
	`kind = "srv_grey", share = 0.2, how = "slow", x = 8.0, for_s = 5.0`,
	`kind = "srv_slow", share = 0.2, x = 4.0, for_s = 6.0`,
	`kind = "srv_cut", share = 0.2, for_s = 5.0`,
	`kind = "srv_cut", share = 0.3, how = "some", x = 0.3, for_s = 6.0`,
	`kind = "srv_cut", share = 0.3, how = "fronts", x = 0.3, for_s = 5.0`,
	`kind = "answer_lost", share = 0.5, x = 0.05, for_s = 5.0`,
	`kind = "garble", how = "extra late", share = 0.6, x = 0.05, for_s = 5.0`,
	`kind = "garble", how = "unframed", share = 0.5, x = 0.05, for_s = 5.0`,
	`kind = "garble", how = "early", share = 0.5, x = 0.05, for_s = 5.0`,
	`kind = "node_kill", share = 0.2, for_s = 3.0`,
	`kind = "node_kill", share = 0.2, for_s = 3.0, how = "power"`,
	`kind = "node_kill", on = "core", count = 1, how = "leader race drain"`,
	`kind = "node_freeze", share = 0.2, for_s = 3.5`,
	`kind = "node_freeze", count = 1, how = "leader", for_s = 5.0`,
	`kind = "node_slow", share = 0.2, x = 5.0, for_s = 5.0`,
	`kind = "node_cut", share = 0.2, for_s = 5.0`,
	`kind = "node_cut", share = 0.2, how = "servers", for_s = 5.0`,
	`kind = "herd_kill", share = 0.6, how = "power", for_s = 2.0`,
	`kind = "after_ack_kill", how = "kill", for_s = 3.0`,
	`kind = "clock_step", x = 2500.0, for_s = 5.0`,
	`kind = "lossy", x = 0.03, for_s = 5.0`,
	`kind = "reset_conns", share = 0.3, x = 0.5`,
	`kind = "replace_with_reuse", share = 0.2`,
	`kind = "replace_with_reuse", share = 0.15, how = "dark"`,
	`kind = "applied_late", x = 0.5, for_s = 6.0`,
	`kind = "events_gap", share = 0.4, for_s = 5.0`,
	`kind = "kv_slow", share = 0.3, x = 8.0, for_s = 5.0`,
}

// plannedChanges are changes made by operators.
var plannedChanges = []string{
	`kind = "roll_term", share = 1.0, gap_s = 1.5`,
	`kind = "roll_term", how = "busy", gap_s = 1.0`,
	`kind = "hup", share = 0.5, gap_s = 2.0`,
	`kind = "release", share = 0.4, x = 1.0, gap_s = 1.0`,
	`kind = "scale_in", share = 0.15`,
	`kind = "scale_in", share = 0.1, how = "spot", x = 2.0`,
	`kind = "scale_out", share = 0.3, gap_s = 2.0`,
	`kind = "version_bump", count = 0`,
	`kind = "config_change", how = "route"`,
	`kind = "config_change", how = "weights"`,
	`kind = "config_change", how = "timeout"`,
	`kind = "config_storm", for_s = 4.0, gap_s = 0.3`,
	`kind = "big_config", count = 250`,
	`kind = "revoke", count = 3, gap_s = 1.0`,
}

// closings are the events that end a day. The empty ones make most days end without one.
var closings = []string{
	"", "", "",
	`{ kind = "power_off_all", down_s = 2.0, how = "all" }`,
	`{ kind = "kill_all", down_s = 1.0 }`,
}

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(arguments []string) error {
	if len(arguments) != 5 {
		return fmt.Errorf("usage: mixeddays SITE_FILE DAY SEED COUNT FOLDER")
	}
	seed, err := strconv.ParseUint(arguments[2], 10, 64)
	if err != nil {
		return err
	}
	count, err := strconv.Atoi(arguments[3])
	if err != nil {
		return err
	}
	traffic, err := readTraffic(arguments[0], arguments[1])
	if err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range count {
		name := fmt.Sprintf("mixed-%d-%d", seed, i)
		day := generateDay(random, name, traffic)
		if err := os.WriteFile(filepath.Join(arguments[4], name+".toml"), []byte(day), 0o644); err != nil {
			return err
		}
	}
	return nil
}

// readTraffic returns the traffic section of a day in a site file.
func readTraffic(siteFile, day string) (string, error) {
	content, err := os.ReadFile(siteFile)
	if err != nil {
		return "", err
	}
	_, after, found := strings.Cut(string(content), fmt.Sprintf("name = %q\nslot", day))
	if !found {
		return "", fmt.Errorf("%s has no day %q", siteFile, day)
	}
	block := regexp.MustCompile(`(?s)\ntraffic = \[\n.*?\n\]\n`).FindString(after)
	if block == "" {
		return "", fmt.Errorf("day %q has no traffic", day)
	}
	return strings.TrimSpace(block), nil
}

// generateDay returns the day as TOML.
func generateDay(random *rand.Rand, name, traffic string) string {
	var plan, faults []string
	for range minEntries + random.IntN(maxEntries-minEntries+1) {
		if random.IntN(3) == 0 {
			plan = append(plan, drawEntries(random, plannedChanges, latestStart)...)
		} else {
			faults = append(faults, drawEntries(random, otherFaults, latestStart)...)
		}
	}
	faults = append(faults, drawEntries(random, storeFaults, latestStoreStart)...)
	var text strings.Builder
	fmt.Fprintf(&text, "name = %q\nslot = \"trouble\"\nseed = %d\n", name, random.Uint32())
	if closing := closings[random.IntN(len(closings))]; closing != "" {
		fmt.Fprintf(&text, "closing = %s\n", closing)
	}
	fmt.Fprintf(&text, "plan = [\n%s]\nfaults = [\n%s]\n%s\n", strings.Join(plan, ""), strings.Join(faults, ""), traffic)
	return text.String()
}

// drawEntries chooses one of the kinds and returns an entry with a random start time before
// latest, or two entries of that kind.
func drawEntries(random *rand.Rand, kinds []string, latest float64) []string {
	kind := kinds[random.IntN(len(kinds))]
	count := 1
	if random.Float64() < repeatProbability {
		count = 2
	}
	var entries []string
	for range count {
		entries = append(entries, fmt.Sprintf("  { at = %.1f, %s },\n", 1+random.Float64()*(latest-1), kind))
	}
	return entries
}

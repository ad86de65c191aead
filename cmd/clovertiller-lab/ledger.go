package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/gravitational/trace"

	"github.com/clovertiller/clovertiller/internal/explain"
	"github.com/clovertiller/clovertiller/internal/lab/compare"
	"github.com/clovertiller/clovertiller/internal/lab/ledger"
)

// ledgerCommand counts the lost requests of one bench run, which is called a day.
func ledgerCommand() command {
	subcommand := newSubcommand("ledger", "Count the lost requests of a day by cause, route, tenant, router, runner and time.")
	var logPath, reportPath, csvPath, plotPath string
	subcommand.String(&logPath, "", "log", "Path of the routers' log.")
	subcommand.String(&reportPath, "", "report", "Path of the bench's report on the day, which has the cost of each cause.")
	subcommand.String(&csvPath, "", "csv", "Path of a CSV file for all rows.")
	subcommand.String(&plotPath, "", "plot", "Path of an .svg or .png file for a plot over time.")
	return command{subcommand, func(context.Context) error { return runLedger(logPath, reportPath, csvPath, plotPath) }}
}

func runLedger(logPath, reportPath, csvPath, plotPath string) error {
	file, err := os.Open(logPath)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer file.Close()
	log, err := explain.Read(file)
	if err != nil {
		return trace.Wrap(err)
	}
	lostRequests, err := ledger.FromLog(log)
	if err != nil {
		return err
	}
	report, err := readReport(reportPath, lostRequests)
	if err != nil {
		return err
	}
	lostRequests.WriteTable(os.Stdout, report)
	if plotPath != "" {
		if err := lostRequests.Plot(plotPath); err != nil {
			return err
		}
	}
	if csvPath == "" {
		return nil
	}
	csvFile, err := os.Create(csvPath)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer csvFile.Close()
	return lostRequests.WriteCSV(csvFile)
}

// readReport reads a report and checks that it is of the same day as the lost requests. It
// returns nil if the path is empty.
func readReport(path string, lostRequests *ledger.Ledger) (*ledger.Report, error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer file.Close()
	report, err := ledger.ReadReport(file)
	if err != nil {
		return nil, err
	}
	return report, report.CheckMatches(lostRequests)
}

// compareCommand runs the same days of the users' bench with two builds.
func compareCommand() command {
	subcommand := newSubcommand("compare", "Run the same days with two builds and print the mean difference.")
	settings := compare.Settings{Jobs: 2}
	benchPath, note, seeds, sites, days := "", "comparison of two builds (trial)", "0", "", ""
	subcommand.String(&benchPath, "", "bench", "Path of the users' bench.")
	subcommand.String(&settings.Before, "", "before", "Source folder of the first build.")
	subcommand.String(&settings.After, "", "after", "Source folder of the second build.")
	subcommand.String(&sites, "", "sites", "Paths of site files, separated by commas.")
	subcommand.String(&days, "", "days", "Names of days or paths of day files, separated by commas.")
	subcommand.String(&seeds, "", "seeds", "Seeds, separated by commas; 0 is the seed of the day file.")
	subcommand.Int(&settings.Jobs, "", "jobs", "Number of concurrent runs.")
	subcommand.String(&note, "", "why", "Note for the bench's journal.")
	return command{subcommand, func(ctx context.Context) error {
		settings.Sites, settings.Days = absolutePaths(splitList(sites)), splitList(days)
		for _, text := range splitList(seeds) {
			seed, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				return trace.BadParameter("seed %q: %v", text, err)
			}
			settings.Seeds = append(settings.Seeds, seed)
		}
		pairs, err := compare.Run(ctx, settings, &compare.Bench{Path: absolutePaths([]string{benchPath})[0], JournalNote: note})
		if err != nil {
			return fmt.Errorf("comparison failed: %w", err)
		}
		compare.Write(os.Stdout, pairs)
		return nil
	}}
}

// splitList splits a comma-separated list and drops empty elements.
func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}

// absolutePaths makes the paths independent of the working directory. It changes the slice.
func absolutePaths(paths []string) []string {
	for i, path := range paths {
		if absolute, err := filepath.Abs(path); err == nil {
			paths[i] = absolute
		}
	}
	return paths
}

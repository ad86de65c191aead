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

// ledgerCommand tells where requests of a day were lost.
func ledgerCommand() command {
	subcommand := newSubcommand("ledger", "Count the lost requests of a day by cause, route, tenant, router, runner and time.")
	var logPath, reportPath, csvPath, plotPath string
	subcommand.String(&logPath, "", "log", "Path of the routers' log lines.")
	subcommand.String(&reportPath, "", "report", "Path of the day's report, for what each cause cost.")
	subcommand.String(&csvPath, "", "csv", "Where all rows go as CSV.")
	subcommand.String(&plotPath, "", "plot", "Where the plot over time goes, as .svg or .png.")
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
	account, err := ledger.FromLog(log)
	if err != nil {
		return err
	}
	report, err := readReport(reportPath, account)
	if err != nil {
		return err
	}
	account.WriteTable(os.Stdout, report)
	if plotPath != "" {
		if err := account.Plot(plotPath); err != nil {
			return err
		}
	}
	if csvPath == "" {
		return nil
	}
	rows, err := os.Create(csvPath)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	defer rows.Close()
	return account.WriteCSV(rows)
}

// readReport returns nil without a path.
func readReport(path string, account *ledger.Ledger) (*ledger.Report, error) {
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
	return report, report.CheckMatches(account)
}

// compareCommand plays the same days with two builds.
func compareCommand() command {
	subcommand := newSubcommand("compare", "Play the same days with two builds and tell the mean difference.")
	settings := compare.Settings{Jobs: 2}
	bench, why, seeds, sites, days := "", "comparison of two builds (trial)", "0", "", ""
	subcommand.String(&bench, "", "bench", "Path of the users' bench.")
	subcommand.String(&settings.Before, "", "before", "Folder of the first build's sources.")
	subcommand.String(&settings.After, "", "after", "Folder of the second build's sources.")
	subcommand.String(&sites, "", "sites", "Paths of site files, separated by commas.")
	subcommand.String(&days, "", "days", "Names of days or paths of day files, separated by commas.")
	subcommand.String(&seeds, "", "seeds", "Seeds, separated by commas; 0 is the day's own.")
	subcommand.Int(&settings.Jobs, "", "jobs", "How many plays run at once.")
	subcommand.String(&why, "", "why", "What the journals note.")
	return command{subcommand, func(ctx context.Context) error {
		settings.Sites, settings.Days = absolutePaths(splitList(sites)), splitList(days)
		for _, text := range splitList(seeds) {
			seed, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				return trace.BadParameter("seed %q: %v", text, err)
			}
			settings.Seeds = append(settings.Seeds, seed)
		}
		pairs, err := compare.Run(ctx, settings, &compare.Bench{Path: absolutePaths([]string{bench})[0], JournalNote: why})
		if err != nil {
			return fmt.Errorf("comparison given up: %w", err)
		}
		compare.Write(os.Stdout, pairs)
		return nil
	}}
}

func splitList(text string) []string {
	return strings.FieldsFunc(text, func(r rune) bool { return r == ',' })
}

// absolutePaths makes paths that hold in other folders too.
func absolutePaths(paths []string) []string {
	for i, path := range paths {
		if absolute, err := filepath.Abs(path); err == nil {
			paths[i] = absolute
		}
	}
	return paths
}

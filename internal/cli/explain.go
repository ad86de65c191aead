package cli

import (
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/clovertiller/clovertiller/internal/explain"
)

// Explain prints the logged history of one request. If the request ID is empty, it prints
// all failed requests grouped by cause. Without files it reads the log from standard input.
func Explain(env *Env, requestID string, files []string) int {
	reader, closeLogs, err := openLogs(files)
	if err != nil {
		env.printError("%v", err)
		return ExitUsage
	}
	defer closeLogs()
	log, err := explain.Read(reader)
	if err != nil {
		env.printError("log: %v", err)
		return ExitFailure
	}
	if requestID == "" {
		printFailureGroups(env.Out, log.Failures())
		return ExitOK
	}
	history, found := log.History(requestID)
	if !found {
		env.printError("none of %d log lines mentions request %q", len(log.Lines), requestID)
		return ExitNotFound
	}
	printHistory(env.Out, history)
	return ExitOK
}

// openLogs returns a reader of all files in order, or of standard input if there are none,
// and a function that closes the files.
func openLogs(files []string) (io.Reader, func(), error) {
	if len(files) == 0 {
		return os.Stdin, func() {}, nil
	}
	var readers []io.Reader
	var opened []*os.File
	closeAll := func() {
		for _, file := range opened {
			file.Close()
		}
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		opened = append(opened, file)
		readers = append(readers, file, strings.NewReader("\n"))
	}
	return io.MultiReader(readers...), closeAll, nil
}

func printFailureGroups(out io.Writer, groups []explain.FailureGroup) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "COUNT\tOUTCOME\tCAUSE\tEXAMPLES")
	for _, group := range groups {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", group.Count, group.Outcome, group.Reason, strings.Join(group.Examples, " "))
	}
	table.Flush()
}

func printHistory(out io.Writer, history explain.RequestHistory) {
	fmt.Fprintf(out, "request %s\n\nstate of the routers and runners:\n", history.Request)
	printLines(out, history.StateChanges, history.Request)
	fmt.Fprintf(out, "\nevents of the request:\n")
	printLines(out, history.Lines, history.Request)
}

// timeOfDayFormat is a layout of package time: the time of day in milliseconds.
const timeOfDayFormat = "15:04:05.000"

// printLines prints one line for each event, with its fields sorted by name. The request is left out if it is the given
// one.
func printLines(out io.Writer, lines []explain.Line, request string) {
	for _, line := range lines {
		names := make([]string, 0, len(line.Fields))
		for name := range line.Fields {
			if name != "request" || line.StringField(name) != request {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		fmt.Fprintf(out, "  %s  %s  %d %s:", line.Time.Format(timeOfDayFormat), line.Node, line.Event, line.Message)
		for _, name := range names {
			fmt.Fprintf(out, " %s=%v", name, line.Fields[name])
		}
		fmt.Fprintln(out)
	}
}

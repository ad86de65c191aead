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

// Explain prints what the logs say of one request, or, without a request, of
// all that failed, by cause. Without files it reads standard input.
func Explain(env *Env, request string, files []string) int {
	reader, closeAll, err := openLogs(files)
	if err != nil {
		env.complain("%v", err)
		return ExitUsage
	}
	defer closeAll()
	log, err := explain.Read(reader)
	if err != nil {
		env.complain("log: %v", err)
		return ExitFailure
	}
	if request == "" {
		printCauses(env.Out, log.Failures())
		return ExitOK
	}
	story, found := log.Request(request)
	if !found {
		env.complain("no line of %d names request %q", len(log.Lines), request)
		return ExitNotFound
	}
	printStory(env.Out, story)
	return ExitOK
}

// openLogs joins the files, or standard input when there are none.
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

func printCauses(out io.Writer, causes []explain.Cause) {
	table := tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, "COUNT\tOUTCOME\tCAUSE\tEXAMPLES")
	for _, cause := range causes {
		fmt.Fprintf(table, "%d\t%s\t%s\t%s\n", cause.Count, cause.Outcome, cause.Reason, strings.Join(cause.Examples, " "))
	}
	table.Flush()
}

func printStory(out io.Writer, story explain.Story) {
	fmt.Fprintf(out, "request %s\n\nwhat was believed:\n", story.Request)
	printLines(out, story.Beliefs)
	fmt.Fprintf(out, "\nwhat became of it:\n")
	printLines(out, story.Lines)
}

// clockFormat shows the time of day to the millisecond.
const clockFormat = "15:04:05.000"

func printLines(out io.Writer, lines []explain.Line) {
	for _, line := range lines {
		names := make([]string, 0, len(line.Fields))
		for name := range line.Fields {
			if name != "request" {
				names = append(names, name)
			}
		}
		sort.Strings(names)
		fmt.Fprintf(out, "  %s  %s  %d %s:", line.Time.Format(clockFormat), line.Node, line.Event, line.Text)
		for _, name := range names {
			fmt.Fprintf(out, " %s=%v", name, line.Fields[name])
		}
		fmt.Fprintln(out)
	}
}

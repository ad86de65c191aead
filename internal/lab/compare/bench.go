package compare

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"

	"github.com/gravitational/trace"

	"github.com/clovertiller/clovertiller/internal/lab/ledger"
)

// Bench runs days with the users' bench. It disables the bench's accounting of processor time, so
// that repeated runs give mostly the same result.
type Bench struct {
	// Path is the absolute path of the bench, since runs use the source folders of the builds as
	// working directories.
	Path string
	// JournalNote is the reason for the runs, which the bench records in the journal of each build.
	JournalNote string
}

// RunDay runs the bench for a day in the source folder of the build and reads its report.
func (b *Bench) RunDay(ctx context.Context, run BenchRun) (*ledger.Report, error) {
	folder, err := os.MkdirTemp("", "compare-")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(folder)
	path := filepath.Join(folder, "report.json")
	arguments := []string{"run", run.Site, run.Day, "--no-cpu", "--jobs", "1", "--report", path, "--why", b.JournalNote}
	if run.Seed != 0 {
		arguments = append(arguments, "--seed", strconv.FormatUint(run.Seed, 10))
	}
	command := exec.CommandContext(ctx, b.Path, arguments...)
	command.Dir = run.Folder
	output, err := command.CombinedOutput()
	file, openErr := os.Open(path)
	if openErr != nil {
		return nil, trace.BadParameter("no report (%v): %s", err, output)
	}
	defer file.Close()
	return ledger.ReadReport(file)
}

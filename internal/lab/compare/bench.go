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

// Bench plays days with the users' bench, without counting processor time, so that a play
// mostly repeats.
type Bench struct {
	// Path is absolute: plays run in the folders of the builds.
	Path string
	// Why is what the journal of each build notes.
	Why string
}

// Play plays a day in the build's folder.
func (b *Bench) Play(ctx context.Context, play Play) (*ledger.Report, error) {
	folder, err := os.MkdirTemp("", "compare-")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer os.RemoveAll(folder)
	path := filepath.Join(folder, "report.json")
	arguments := []string{"run", play.Site, play.Day, "--no-cpu", "--jobs", "1", "--report", path, "--why", b.Why}
	if play.Seed != 0 {
		arguments = append(arguments, "--seed", strconv.FormatUint(play.Seed, 10))
	}
	command := exec.CommandContext(ctx, b.Path, arguments...)
	command.Dir = play.Folder
	output, err := command.CombinedOutput()
	file, openErr := os.Open(path)
	if openErr != nil {
		return nil, trace.BadParameter("no report (%v): %s", err, output)
	}
	defer file.Close()
	return ledger.ReadReport(file)
}

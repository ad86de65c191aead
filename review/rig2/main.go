// Command rig2 runs the scripted cases of the second part of the review. It starts routers as separate processes on loopback
// addresses, with stand-ins for the store, the runners and the callers, and judges what the runners and the callers see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// scenario is one case. It returns an error if the case could not run.
type scenario func(d *deployment, trouble bool) (verdict, error)

var scenarios = map[string]scenario{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		return exitNotRun
	}
	play, found := scenarios[os.Args[1]]
	if !found {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := newDeployment(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		d.close()
		os.Exit(exitNotRun)
	}()
	d.note("case %s, trouble %t", os.Args[1], trouble)
	result, err := play(d, trouble)
	switch {
	case err != nil:
		d.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case result.broken:
		d.note("BROKEN: %s", result.text)
		fmt.Println("broken:", result.text)
		return exitBroken
	}
	d.note("HELD: %s", result.text)
	fmt.Println("held:", result.text)
	return exitHeld
}

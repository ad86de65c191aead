// Command mixed shows at which software version streams go on that callers take up after all routers were killed at the same moment, just after the
// last runners of the software version that began the streams have left the directory.
package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/clovertiller/clovertiller/review/rig"
)

const (
	routers           = 7
	runnersPerVersion = 4
	streams           = 42
	// lastEvent and interval give a stream of seven seconds.
	lastEvent = 35
	interval  = 200 * time.Millisecond
	// serveOn is how long the old runners serve on after their entries are gone.
	serveOn = 8 * time.Second
	// releaseGap is the pause between two runners that are replaced.
	releaseGap = time.Second
	// restartDelay is how long after a kill the platform starts the process again.
	restartDelay = time.Second
	// maxMixed is the number of streams of two versions that the rule allows.
	maxMixed = 2
)

func main() { os.Exit(run()) }

func run() int {
	record, err := rig.NewRecord(os.Args[1])
	if err != nil {
		fmt.Println(err)
		return 2
	}
	defer record.Close()
	broken, err := play(record, os.Args[2], os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		record.Printf("the case could not run: %v", err)
		return 2
	case broken:
		return 1
	}
	return 0
}

// startRunner starts and lists a runner of a software version.
func startRunner(site *rig.Site, software string, number int) (*rig.Runner, error) {
	runner, err := site.StartRunner(rig.RunnerConfig{
		ID: fmt.Sprintf("i-%s-%d", software, number), Software: software, Weights: 1, Capacity: 110556, Handle: serveStream,
	})
	if err == nil {
		runner.List()
	}
	return runner, err
}

// play returns whether the rule was broken.
func play(record *rig.Record, program string, trouble bool) (broken bool, err error) {
	site, err := rig.NewSite(record, program)
	if err != nil {
		return false, err
	}
	defer site.Close()
	if err := site.AddRouters(routers); err != nil {
		return false, err
	}
	site.NameWeights(1)
	site.PutConfig(1, true, "")
	var older, newer []*rig.Runner
	for i := range runnersPerVersion {
		for _, software := range []string{"v1", "v2"} {
			runner, err := startRunner(site, software, i+1)
			if err != nil {
				return false, err
			}
			if software == "v1" {
				older = append(older, runner)
			} else {
				newer = append(newer, runner)
			}
		}
	}
	for _, router := range site.Routers {
		if err := router.Start(true); err != nil {
			return false, err
		}
	}
	if err := site.AwaitReady(site.Routers, 10*time.Second); err != nil {
		return false, err
	}
	entry := rig.NewEntry(site)
	defer entry.Close()
	time.Sleep(10 * time.Second)
	caller := &rig.Caller{Site: site, Entry: entry}
	var begun []*rig.Stream
	for i := range streams {
		begun = append(begun, caller.Start(fmt.Sprintf("s%d", i), site.Routers[i%routers], lastEvent))
		time.Sleep(10 * time.Millisecond)
	}
	// A release: half of the runners are replaced, one at a time. The new one starts first. The old one leaves without a word
	// and serves on.
	for i, runner := range older {
		replacement, err := startRunner(site, "v2", runnersPerVersion+i+1)
		if err != nil {
			return false, err
		}
		newer = append(newer, replacement)
		runner.Unlist()
		time.AfterFunc(serveOn, runner.Close)
		time.Sleep(releaseGap)
	}
	if trouble {
		record.Printf("all %d routers are killed", routers)
		for _, router := range site.Routers {
			go router.Kill()
		}
		time.Sleep(restartDelay)
		for _, router := range site.Routers {
			if err := router.Start(false); err != nil {
				return false, err
			}
		}
	}
	caller.Wait()
	for _, runner := range newer {
		runner.Close()
	}
	return judge(record, begun), nil
}

func serveStream(r *rig.Runner, writer http.ResponseWriter, request *http.Request) {
	rig.WriteStream(r, writer, request, lastEvent, interval)
}

// judge counts the streams that hold events of two software versions.
func judge(record *rig.Record, begun []*rig.Stream) bool {
	mixed, complete, takenUp := 0, 0, 0
	for _, stream := range begun {
		versions := map[string]bool{}
		for _, event := range stream.Events() {
			version, _, _ := strings.Cut(event.Data, " ")
			versions[version] = true
		}
		attempts := stream.Attempts()
		if len(attempts) > 1 {
			takenUp++
		}
		if len(attempts) > 0 && attempts[len(attempts)-1].Complete {
			complete++
		}
		if len(versions) > 1 {
			mixed++
			record.Logf("%s holds events of %d software versions", stream.Name, len(versions))
		}
	}
	record.Printf("%d streams, %d taken up, %d complete", len(begun), takenUp, complete)
	record.Printf("%d streams hold events of two software versions, %d are allowed", mixed, maxMixed)
	return mixed > maxMixed
}

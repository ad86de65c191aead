// Command takenup shows what becomes of streams that callers take up after the three seeds were killed at the same moment,
// while runners of two software versions serve side by side.
package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/clovertiller/clovertiller/review/rig"
)

const (
	routers           = 7
	runnersPerVersion = 4
	streams           = 84
	// lastEvent and interval give a stream of twelve seconds.
	lastEvent = 60
	interval  = 200 * time.Millisecond
	// restartDelay is how long after a kill the platform starts the process again.
	restartDelay = time.Second
	// newStreams begin at the machines in touch while streams are taken up there.
	newStreams = 40
	minTakenUp = 12
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
	for i := range 2 * runnersPerVersion {
		runner, err := site.StartRunner(rig.RunnerConfig{
			ID: fmt.Sprintf("i-%d", i+1), Software: fmt.Sprintf("v%d", 1+i%2), Weights: 1, Capacity: 110556, Handle: serveStream,
		})
		if err != nil {
			return false, err
		}
		defer runner.Close()
		runner.List()
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
	// All machines are in touch before traffic begins.
	time.Sleep(10 * time.Second)
	caller := &rig.Caller{Site: site, Entry: entry}
	var begun []*rig.Stream
	for i := range streams {
		begun = append(begun, caller.Start(fmt.Sprintf("s%d", i), site.Routers[i%routers], lastEvent))
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	killed, others, kind := site.Routers[:3], site.Routers[3:], "seeds"
	if os.Getenv("KILL") == "others" {
		// A check of the cause: three machines that are no seeds.
		killed, others, kind = site.Routers[4:], site.Routers[:4], "last"
	}
	if trouble {
		record.Printf("the %d %s of %d machines are killed", len(killed), kind, routers)
		for _, router := range killed {
			go router.Kill()
		}
		time.AfterFunc(restartDelay, func() {
			for _, router := range killed {
				if err := router.Start(false); err != nil {
					record.Printf("restart: %v", err)
				}
			}
		})
	}
	var fresh []*rig.Stream
	for i := range newStreams {
		fresh = append(fresh, caller.Start(fmt.Sprintf("n%d", i), others[rand.IntN(len(others))], 3))
		time.Sleep(100 * time.Millisecond)
	}
	caller.Wait()
	return judge(record, begun, fresh, others), nil
}

func serveStream(r *rig.Runner, writer http.ResponseWriter, request *http.Request) {
	last := lastEvent
	if strings.HasPrefix(request.Header.Get("Clovertiller-Request-Id"), "n") {
		last = 3
	}
	rig.WriteStream(r, writer, request, last, interval)
}

// judge compares the share of the streams that go on with that of the new ones that begin, at the machines in touch.
func judge(record *rig.Record, begun, fresh []*rig.Stream, inTouch []*rig.Router) bool {
	isInTouch := map[*rig.Router]bool{}
	for _, router := range inTouch {
		isInTouch[router] = true
	}
	takenUp, wentOn, complete, mixed := 0, 0, 0, 0
	for _, stream := range begun {
		isTakenUp, goesOn := false, false
		versions := map[string]bool{}
		for _, event := range stream.Events() {
			version, _, _ := strings.Cut(event.Data, " ")
			versions[version] = true
		}
		for i, attempt := range stream.Attempts() {
			if i == 0 {
				continue
			}
			// A stream that goes on at any machine counts for the system.
			isTakenUp = isTakenUp || isInTouch[attempt.Router]
			goesOn = goesOn || len(attempt.Events) > 0
		}
		if attempts := stream.Attempts(); len(attempts) > 0 && attempts[len(attempts)-1].Complete {
			complete++
		}
		if len(versions) > 1 {
			mixed++
		}
		if isTakenUp {
			takenUp++
			if goesOn {
				wentOn++
			}
		}
	}
	began := 0
	for _, stream := range fresh {
		if len(stream.Events()) > 0 && stream.Attempts()[0].Status == http.StatusOK {
			began++
		}
	}
	record.Printf("%d streams, %d complete, %d of two software versions", len(begun), complete, mixed)
	record.Printf("%d taken up at machines in touch, %d of them go on", takenUp, wentOn)
	record.Printf("%d new streams at these machines, %d of them begin at the first attempt", len(fresh), began)
	if takenUp < minTakenUp {
		return mixed > 2
	}
	shareOn, shareBegun := float64(wentOn)/float64(takenUp), float64(began)/float64(len(fresh))
	record.Printf("share that goes on %.3f, share that begins %.3f", shareOn, shareBegun)
	return shareOn < shareBegun/2 || mixed > 2
}

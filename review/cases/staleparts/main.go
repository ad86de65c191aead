// Command staleparts shows on which memory requests run while the runners of a service take new weights.
package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/review/rig"
)

const (
	routers = 3
	runners = 12
	// families is the number of new families of prompts in each round, and the tokens are those of the three parts of a prompt.
	families                             = 8
	trunkTokens, familyTokens, ownTokens = 2520, 11300, 2890
	tokensOut                            = 13
	spacing                              = 34 * time.Millisecond
	// rounds is the number of versions that are named, and secondAsk when the families are asked for again.
	rounds    = 4
	secondAsk = 900 * time.Millisecond
	roundTime = 6 * time.Second
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
	engines := rig.NewEngines(record)
	store, err := engines.StartStore()
	if err != nil {
		return false, err
	}
	site.NameWeights(1)
	site.PutConfig(1, true, store)
	for i := range runners {
		runner, err := site.StartRunner(rig.RunnerConfig{
			ID: fmt.Sprintf("i-%d", i+1), Software: "v1", Weights: 1, Capacity: 110556, Handle: engines.Serve, LoadTime: 630 * time.Millisecond,
		})
		if err != nil {
			return false, err
		}
		defer runner.Close()
		engines.Add(runner.Address, runner.Cache)
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
	time.Sleep(5 * time.Second)
	var callers sync.WaitGroup
	sent := 0
	send := func(family string) {
		sent++
		request := rig.StreamRequest{
			ID: fmt.Sprintf("r%d", sent), Timeout: 6 * time.Second, Tokens: fmt.Sprintf("%d,%d", trunkTokens+familyTokens+ownTokens, tokensOut),
			Prompt: fmt.Sprintf("aa:%d,%s:%d,cc%x:%d", trunkTokens, family, familyTokens, sent, ownTokens),
		}
		callers.Go(func() {
			attempt := request.Send(context.Background(), entry.Pick(nil), nil)
			if !attempt.Complete {
				record.Logf("%s is not served: status %d, %v", request.ID, attempt.Status, attempt.Err)
			}
		})
	}
	for round := range rounds {
		// Each round brings new families of prompts, each asked for several times.
		for family := range families {
			send(fmt.Sprintf("bb%x%02x", round, family))
			time.Sleep(spacing)
		}
		if trouble {
			record.Logf("version %d is named", round+2)
			site.NameWeights(round + 2)
		}
		time.Sleep(secondAsk)
		for range 2 {
			for family := range families {
				send(fmt.Sprintf("bb%x%02x", round, family))
				time.Sleep(spacing)
			}
		}
		time.Sleep(roundTime)
	}
	callers.Wait()
	stale, runs, keepRuns, moved, kept := engines.Stale()
	record.Printf("%d requests, %d runs, %d of them went on under other weights; %d parts moved, %d used where they were", sent, runs, keepRuns, moved, kept)
	record.Printf("%d requests ran on parts made under another version", stale)
	return stale > 0, nil
}

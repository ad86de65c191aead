// Command bodies is a trial: the memory of a router that holds bodies of requests.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/review/rig"
)

func main() {
	record, _ := rig.NewRecord(os.Args[1])
	site, err := rig.NewSite(record, os.Args[2])
	if err != nil {
		panic(err)
	}
	defer site.Close()
	count, _ := strconv.Atoi(os.Args[3])
	bytes, _ := strconv.Atoi(os.Args[4])
	if err := site.AddRouters(1); err != nil {
		panic(err)
	}
	site.NameWeights(1)
	site.PutConfig(1, true, "")
	for i := range 12 {
		runner, _ := site.StartRunner(rig.RunnerConfig{ID: fmt.Sprintf("i-%d", i), Software: "v1", Weights: 1, Capacity: 110556, Handle: func(r *rig.Runner, w http.ResponseWriter, q *http.Request) {
			rig.WriteStream(r, w, q, 50, 200*time.Millisecond)
		}})
		defer runner.Close()
		runner.List()
	}
	site.Routers[0].Start(true)
	if err := site.AwaitReady(site.Routers, 10*time.Second); err != nil {
		panic(err)
	}
	fmt.Printf("idle %.1f MB\n", site.Routers[0].ResidentMB())
	body := strings.Repeat("x", bytes)
	var group sync.WaitGroup
	var mutex sync.Mutex
	ok := 0
	for i := range count {
		group.Go(func() {
			a := rig.StreamRequest{ID: fmt.Sprintf("r%d", i), Timeout: 15 * time.Second, Prompt: fmt.Sprintf("aa:800,%x:200", i+17), Tokens: "1000,50", Body: body}.Send(context.Background(), site.Routers[0], nil)
			mutex.Lock()
			defer mutex.Unlock()
			if a.Complete {
				ok++
			}
		})
		time.Sleep(30 * time.Millisecond)
	}
	most := 0.0
	for range 60 {
		most = max(most, site.Routers[0].ResidentMB())
		time.Sleep(100 * time.Millisecond)
	}
	group.Wait()
	fmt.Printf("%d requests with %d bytes, %d complete, most %.1f MB\n", count, bytes, ok, most)
}

// Command partition is a trial: first tries at routers that are cut off all runners.
package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/faultproxy"
	"github.com/clovertiller/clovertiller/internal/lab/socketowner"
	"github.com/clovertiller/clovertiller/review/rig"
)

func main() {
	record, _ := rig.NewRecord(os.Args[1])
	site, err := rig.NewSite(record, os.Args[2])
	if err != nil {
		panic(err)
	}
	defer site.Close()
	cutCount, _ := strconv.Atoi(os.Args[3])
	rate, _ := strconv.Atoi(os.Args[4])
	if err := site.AddRouters(7); err != nil {
		panic(err)
	}
	site.NameWeights(1)
	site.PutConfig(1, true, "")
	groupOf := func(client, proxy *net.TCPAddr) string {
		inode, err := socketowner.Inode(client, proxy)
		if err != nil {
			return ""
		}
		for _, router := range site.Routers {
			if pid := router.PID(); pid != 0 && socketowner.IsOpenIn(pid, inode) {
				return router.Name
			}
		}
		return ""
	}
	var proxies []*faultproxy.Proxy
	for i := range 12 {
		runner, err := site.StartRunner(rig.RunnerConfig{ID: fmt.Sprintf("i-%d", i), Software: "v1", Weights: 1, Capacity: 110556, Handle: func(r *rig.Runner, w http.ResponseWriter, q *http.Request) {
			rig.WriteStream(r, w, q, 10, 20*time.Millisecond)
		}})
		if err != nil {
			panic(err)
		}
		defer runner.Close()
		proxy, err := faultproxy.StartGrouped(runner.Address, groupOf)
		if err != nil {
			panic(err)
		}
		defer proxy.Close()
		proxies = append(proxies, proxy)
		runner.Listed = proxy.Address
		runner.List()
	}
	for _, router := range site.Routers {
		if err := router.Start(true); err != nil {
			panic(err)
		}
	}
	if err := site.AwaitReady(site.Routers, 10*time.Second); err != nil {
		panic(err)
	}
	time.Sleep(5 * time.Second)
	type count struct{ sent, served int }
	var mutex sync.Mutex
	var group sync.WaitGroup
	number := 0
	for _, mode := range []faultproxy.Mode{faultproxy.Reset, faultproxy.Blackhole, faultproxy.RejectNew} {
		counts := map[bool]*count{true: {}, false: {}}
		cut := site.Routers[7-cutCount:]
		for _, proxy := range proxies {
			for _, router := range cut {
				proxy.SetGroupMode(router.Name, mode)
			}
		}
		begin := time.Now()
		for time.Since(begin) < 9*time.Second {
			number++
			router := site.Routers[number%7]
			isCut, counted := number%7 >= 7-cutCount, time.Since(begin) >= 3*time.Second
			request := rig.StreamRequest{ID: fmt.Sprintf("p%d", number), Timeout: 6 * time.Second, Prompt: fmt.Sprintf("aa%x:800,%x:200", number%9, number+99), Tokens: "1000,10"}
			group.Go(func() {
				attempt := request.Send(context.Background(), router, nil)
				if !attempt.Complete {
					record.Logf("%v: %s at %s, cut %v: %d %v", mode, request.ID, router.Name, isCut, attempt.Status, attempt.Err)
				}
				mutex.Lock()
				defer mutex.Unlock()
				if counted {
					counts[isCut].sent++
					if attempt.Complete {
						counts[isCut].served++
					}
				}
			})
			time.Sleep(time.Second / time.Duration(rate))
		}
		group.Wait()
		for _, proxy := range proxies {
			for _, router := range cut {
				proxy.SetGroupMode(router.Name, faultproxy.Pass)
			}
		}
		fmt.Printf("%v: cut %d of 7: %d of %d served, the others %d of %d\n", mode, cutCount, counts[true].served, counts[true].sent, counts[false].served, counts[false].sent)
		time.Sleep(4 * time.Second)
	}
}

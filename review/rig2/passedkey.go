package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

func init() { scenarios["passed-key"] = playPassedKey }

const (
	passedKey  = "key-that-is-passed-on"
	minTakenUp = 12
)

// playPassedKey lets clients take streams up again after their connections broke once. Meanwhile the configuration passes their key on to another tenant.
func playPassedKey(d *deployment, trouble bool) (verdict, error) {
	for i := range 6 {
		_, err := d.addRunner(runnerstand.Config{
			ID: fmt.Sprintf("i-%d", i+1), Service: "engines-a", Model: "m", Version: 1, Incarnation: 1, SoftwareVersion: fmt.Sprintf("1.%d", 4+i%2),
			EventCount: streamEvents, EventInterval: eventInterval, VersionInEvents: true,
		})
		if err != nil {
			return verdict{}, err
		}
	}
	d.store.Put(platform.KindWeightVersions, "m", map[string]any{"model": "m", "version": 1})
	d.store.Put(platform.KindConfig, platform.ConfigObjectName, keyConfig(7, "tenant-one"))
	d.addRouters(5)
	if err := d.startAll(); err != nil {
		return verdict{}, err
	}
	time.Sleep(5 * time.Second)
	old, newer := make([]*clientStream, orderStreams), make([]*clientStream, orderStreams)
	var clients sync.WaitGroup
	start := func(streams []*clientStream, first, maxBreaks int) {
		for i := range streams {
			streams[i] = &clientStream{id: fmt.Sprintf("%016x", first+i), key: passedKey}
			clients.Add(1)
			go func() {
				defer clients.Done()
				time.Sleep(time.Duration(i) * startSpread)
				d.readStream(streams[i], i, maxBreaks)
			}()
		}
	}
	start(old, 1, 1)
	time.Sleep(movedAfter)
	if trouble {
		d.store.Put(platform.KindConfig, platform.ConfigObjectName, keyConfig(8, "tenant-two"))
		d.note("configuration 8 passes the key on to tenant-two, acknowledged")
	}
	time.Sleep(breakTime - movedAfter)
	start(newer, 1000, 0)
	clients.Wait()
	takenUp, goneOn, begun := 0, 0, 0
	for _, s := range old {
		d.note("stream %s: %d events of %d, connection broken %t, gone on %t, refused %d times", s.id, s.events, streamEvents, s.broken, s.goneOn, s.refused)
		if s.broken {
			takenUp++
		}
		if s.goneOn {
			goneOn++
		}
	}
	for _, s := range newer {
		d.note("new stream %s: %d events of %d, refused %d times", s.id, s.events, streamEvents, s.refused)
		if s.events > 0 {
			begun++
		}
	}
	shareOn, shareBegun := float64(goneOn)/float64(max(takenUp, 1)), float64(begun)/float64(len(newer))
	text := fmt.Sprintf("%d of %d streams that were taken up went on, %d of %d new streams began", goneOn, takenUp, begun, len(newer))
	return verdict{broken: takenUp >= minTakenUp && shareOn < shareBegun/2, text: text}, nil
}

func keyConfig(version int, holder string) map[string]any {
	config := orderConfig(version, "engines-a")
	config["routes"].([]map[string]any)[0]["public"] = false
	var tenants []map[string]any
	for _, name := range []string{"tenant-one", "tenant-two"} {
		keys := []string{"key-of-" + name}
		if name == holder {
			keys = append(keys, passedKey)
		}
		tenants = append(tenants, map[string]any{"name": name, "api_keys": keys, "priority": 1, "isolated": false})
	}
	config["tenants"] = tenants
	return config
}

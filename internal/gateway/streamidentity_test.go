package gateway_test

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/platform"
)

// keyHolders are the keys of each tenant in a configuration.
type keyHolders map[string][]string

// configureHolders puts a configuration with the tenants and waits until the routers have applied it.
func (f *fleet) configureHolders(version int, holders keyHolders, routers ...*router) {
	f.configureRoutes(version, defaultRoutes(), holders, routers...)
}

func (f *fleet) configureRoutes(version int, routes []map[string]any, holders keyHolders, routers ...*router) {
	spec := config(version, routes)
	var tenants []map[string]any
	for name, keys := range holders {
		tenants = append(tenants, map[string]any{"name": name, "api_keys": keys, "isolated": true})
	}
	spec["tenants"] = tenants
	f.store.Put(configKind, configName, spec)
	for _, r := range routers {
		r.waitForConfig(version)
	}
}

// takeUpWith asks the routers in turn for the rest of the streams, with the key.
func takeUpWith(key string, streams []openedStream, routers ...*router) (result takeUps) {
	for i, stream := range streams {
		got := routers[i%len(routers)].call("/stream/x", func(request *http.Request) {
			setStreamHeaders(request, openedStream{id: newRequestID(), prompt: stream.prompt})
			request.Header.Set(platform.HeaderResumes, stream.id)
			request.Header.Set(platform.HeaderLastEventID, stream.lastID)
			request.Header.Set("Authorization", "Bearer "+key)
		})
		result.count(stream, got)
	}
	return result
}

// secondKey is another key of the tenant that holds validKey, and foreignKey one of another tenant.
const (
	secondKey  = "key-one-b"
	foreignKey = "key-two"
)

var initialHolders = keyHolders{"tenant-one": {validKey, secondKey}, "tenant-two": {foreignKey}}

// Guards against streams that are refused because a configuration has changed who holds their key while they were running.
func TestStreamsGoOnAfterTheirKeyIsPassedOn(t *testing.T) {
	for name, changes := range map[string][]keyHolders{
		"passed on":          {{"tenant-one": {secondKey}, "tenant-two": {foreignKey, validKey}}},
		"passed on and back": {{"tenant-one": {secondKey}, "tenant-two": {foreignKey, validKey}}, initialHolders},
		"tenant renamed":     {{"tenant-1": {validKey, secondKey}, "tenant-two": {foreignKey}}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, routers, _, _ := newMixedFleet(t)
			f.configureHolders(2, initialHolders, routers...)
			streams := routers[3].openStreams(streamsPerCase)
			for i, holders := range changes {
				f.configureHolders(3+i, holders, routers...)
				f.expectTaken(takeUpAll(streams, routers[i], routers[2]))
			}
		})
	}
}

// Guards against the same for callers that go on with another key of the tenant that holds theirs, as the first one was removed.
func TestStreamsGoOnAfterTheirKeyIsReplaced(t *testing.T) {
	t.Parallel()
	f, routers, _, _ := newMixedFleet(t)
	f.configureHolders(2, initialHolders, routers...)
	streams := routers[3].openStreams(streamsPerCase)
	f.configureHolders(3, keyHolders{"tenant-one": {secondKey}, "tenant-two": {foreignKey}}, routers...)
	f.expectTaken(takeUpWith(secondKey, streams, routers[0], routers[2]))
}

// Guards against the same when a route that needed a key becomes public, or the other way round.
func TestStreamsGoOnAfterTheirRouteIsMadePublic(t *testing.T) {
	for _, publicFirst := range []bool{false, true} {
		t.Run(fmt.Sprint("public first: ", publicFirst), func(t *testing.T) {
			t.Parallel()
			f, routers, _, _ := newMixedFleet(t)
			routes := func(public bool) []map[string]any {
				return []map[string]any{route("stream", "/stream/", "streaming", "engines", map[string]any{"sticky": true, "resumable": true, "public": public})}
			}
			f.configureRoutes(2, routes(publicFirst), initialHolders, routers...)
			streams := routers[3].openStreams(streamsPerCase)
			f.configureRoutes(3, routes(!publicFirst), initialHolders, routers...)
			f.expectTaken(takeUpAll(streams, routers[0], routers[2]))
		})
	}
}

// Guards against the same while routers learn of the change at different moments.
func TestStreamsGoOnWhileRoutersLearnOfPassedKeys(t *testing.T) {
	t.Parallel()
	f, routers, _, _ := newMixedFleet(t)
	f.configureHolders(2, initialHolders, routers...)
	for version, holders := range []keyHolders{{"tenant-one": {secondKey}, "tenant-two": {foreignKey, validKey}}, initialHolders} {
		before := routers[3].openStreams(streamsPerCase)
		f.configureHolders(3+version, holders)
		f.expectTaken(takeUpAll(before, routers...))
		f.configureHolders(3+version, holders, routers[1])
		f.expectTaken(takeUpAll(routers[1].openStreams(streamsPerCase/4), routers...))
	}
}

// Guards against the same when all routers are lost after the change, so that only the store knows where the streams began.
func TestStreamsWhoseKeyIsPassedOnGoOnAfterLossOfAllRouters(t *testing.T) {
	t.Parallel()
	s, first, second := newMixedStreamFleet(t, 4)
	streams := s.routers[3].openStreams(streamsPerCase)
	s.awaitStored()
	s.configureHolders(2, keyHolders{"tenant-one": {secondKey}, "tenant-two": {foreignKey, validKey}}, s.routers...)
	s.loseAll(len(first)+len(second), func() {})
	s.expectTaken(takeUpAll(streams, s.routers...))
}

// Guards against a caller that is bound by the stream of another one, whose key it never held.
func TestStreamsOfPassedKeysBindNoForeignCaller(t *testing.T) {
	t.Parallel()
	f, routers, _, _ := newMixedFleet(t)
	f.configureHolders(2, initialHolders, routers...)
	streams := routers[3].openStreams(4)
	f.configureHolders(3, keyHolders{"tenant-one": {secondKey}, "tenant-two": {foreignKey, validKey}}, routers...)
	foreign := takeUpWith(foreignKey, streams, routers[0])
	f.g.Expect(foreign.goneOn).To(BeZero())
	f.expectTaken(takeUpAll(streams, routers[0]))
}

package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/platform"
)

// otherService is the service to which routes move.
const otherService = "engines-b"

// enginesOf starts two engines of each software version of the service.
func (f *fleet) enginesOf(service string, softwareVersions ...string) (started int) {
	for _, softwareVersion := range softwareVersions {
		for i := range 2 {
			f.startRunner(runnerstand.Config{
				ID: fmt.Sprintf("%s-%s-%d", service, softwareVersion, i), Service: service, Model: modelName, Version: 1, EventCount: versionedEvents,
				SoftwareVersion: softwareVersion, VersionInEvents: true, EventInterval: 2 * time.Millisecond,
			})
			started++
		}
	}
	return started
}

// moveRoute puts a configuration whose resumable route has the service, and waits until the routers have applied it.
func (f *fleet) moveRoute(version int, service string, routers ...*router) {
	routes := defaultRoutes()
	for _, spec := range routes {
		if spec["name"] == "stream" {
			spec["service"] = service
		}
	}
	spec := config(version, routes, validKey)
	engine := spec["services"].([]map[string]any)[1]["engine"]
	spec["services"] = append(spec["services"].([]map[string]any), map[string]any{"name": otherService, "engine": engine})
	f.store.Put(configKind, configName, spec)
	for _, r := range routers {
		r.waitForConfig(version)
	}
}

// goOn takes the stream up, reads the number of events and leaves. It returns the stream with these events, and false if it was refused.
func (r *router) goOn(stream openedStream, events int) (openedStream, bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.address+"/stream/x", strings.NewReader("the body"))
	r.fleet.g.Expect(err).NotTo(HaveOccurred())
	id := newRequestID()
	// Another prompt each time, as streams otherwise go on where their prompts are cached.
	setStreamHeaders(request, openedStream{id: id, prompt: "pp-" + id + ":100,qq:50"})
	request.Header.Set(platform.HeaderResumes, stream.id)
	request.Header.Set(platform.HeaderLastEventID, stream.lastID)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return stream, false
	}
	defer response.Body.Close()
	reader, received := bufio.NewReader(response.Body), ""
	for response.StatusCode == http.StatusOK && strings.Count(received, "\n\n") < events {
		line, err := reader.ReadString('\n')
		if err != nil {
			break
		}
		received += line
	}
	if received == "" {
		return stream, false
	}
	runner, _, _ := strings.Cut(response.Header.Get(platform.HeaderResponseStamp), ".")
	stream.events += eventsOf(r.fleet.runnerByID(runner).Service, received)
	stream.lastID = fmt.Sprint(strings.Count(stream.events, "\n\n"))
	return stream, true
}

// eventsOf returns the events of a service with the name of the service before the software version.
func eventsOf(service, events string) string {
	return versionPattern.ReplaceAllStringFunc(events, func(event string) string {
		index := strings.LastIndex(event, " ") + 1
		return event[:index] + service + "/" + event[index:]
	})
}

// openAt opens streams at the router, whose route has the service "engines".
func openAt(r *router) (streams []openedStream) {
	for _, stream := range r.openStreams(streamsPerCase) {
		stream.events = eventsOf("engines", stream.events)
		streams = append(streams, stream)
	}
	return streams
}

// goOnAll takes all streams up at the routers, at once, and returns those that went on.
func goOnAll(streams []openedStream, routers ...*router) (goneOn []openedStream) {
	results := make(chan *openedStream, len(streams))
	for i, stream := range streams {
		go func() {
			next, ok := routers[i%len(routers)].goOn(stream, 2)
			if !ok {
				results <- nil
				return
			}
			results <- &next
		}()
	}
	for range streams {
		if next := <-results; next != nil {
			goneOn = append(goneOn, *next)
		}
	}
	return goneOn
}

// expectUnmixed expects that nearly all of the streams are left, none of which has events of two software versions of one service.
func (f *fleet) expectUnmixed(streams []openedStream) {
	f.g.Expect(len(streams)*100).To(BeNumerically(">=", streamsPerCase*95), "streams that went on")
	for _, stream := range streams {
		services := map[string]bool{}
		for source := range streamVersions(stream.events) {
			service, _, _ := strings.Cut(source, "/")
			f.g.Expect(services[service]).To(BeFalse(), stream.events)
			services[service] = true
		}
	}
}

// awaitRecordsOfVersions waits until versions that have joined are known at all routers, so that no record of an earlier stream is missing.
func awaitRecordsOfVersions() { time.Sleep(3500 * time.Millisecond) }

// Guards against streams that go on at two software versions of the service to which their route has moved.
func TestStreamsDoNotMixAfterTheirRouteHasMoved(t *testing.T) {
	for name, versions := range map[string][]string{"the same versions": {"v1", "v2"}, "other versions": {"v3", "v4"}, "one version of these": {"v2", "v3"}} {
		for _, movesBack := range []bool{false, true} {
			for _, isLost := range []bool{false, true} {
				t.Run(fmt.Sprint(name, ", back: ", movesBack, ", loss of all routers: ", isLost), func(t *testing.T) {
					t.Parallel()
					testMovedRoute(t, versions, movesBack, isLost)
				})
			}
		}
	}
}

func testMovedRoute(t *testing.T, versions []string, movesBack, isLost bool) {
	f := newFleet(t)
	f.moveRoute(1, "engines")
	runners := f.enginesOf("engines", "v1", "v2") + f.enginesOf(otherService, versions...)
	s := newStreamFleet(f, 4, runners)
	awaitRecordsOfVersions()
	streams := openAt(s.routers[3])
	loseAll := func() {
		if isLost {
			s.awaitStored()
			s.loseAll(runners, func() {})
		}
	}
	f.moveRoute(2, otherService, s.routers...)
	loseAll()
	streams = goOnAll(streams, s.routers...)
	if movesBack {
		f.moveRoute(3, "engines", s.routers...)
	}
	loseAll()
	streams = goOnAll(streams, s.routers...)
	f.expectUnmixed(streams)
}

// Guards against the same while routers learn of the move at different moments.
func TestStreamsDoNotMixWhileRoutersLearnOfMovedRoutes(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.moveRoute(1, "engines")
	s := newStreamFleet(f, 4, f.enginesOf("engines", "v1", "v2")+f.enginesOf(otherService, "v3", "v4"))
	awaitRecordsOfVersions()
	streams := openAt(s.routers[3])
	for version, service := range []string{otherService, "engines"} {
		f.moveRoute(2+version, service)
		streams = goOnAll(streams, s.routers...)
		f.moveRoute(2+version, service, s.routers...)
	}
	f.expectUnmixed(goOnAll(streams, s.routers...))
}

// Guards against the same where the second version of the new service joins after streams have gone on there, which need no record until then.
func TestStreamsOfMovedRoutesDoNotMixWhenASecondVersionJoins(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.moveRoute(1, "engines")
	runners := f.enginesOf("engines", "v1", "v2") + f.enginesOf(otherService, "v3")
	s := newStreamFleet(f, 4, runners)
	awaitRecordsOfVersions()
	streams := openAt(s.routers[3])
	f.moveRoute(2, otherService, s.routers...)
	streams = goOnAll(streams, s.routers...)
	s.awaitRunners(runners + f.enginesOf(otherService, "v1", "v4"))
	f.expectUnmixed(goOnAll(streams, s.routers...))
}

// Guards against the same over an egress router.
func TestForwardedStreamsDoNotMixAfterTheirRouteHasMoved(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.moveRoute(1, "engines")
	f.enginesOf("engines", "v1", "v2")
	f.enginesOf(otherService, "v3", "v4")
	cut, healthy := newCutRouter(f, 1)
	cut.awaitCut("/stream/x")
	awaitRecordsOfVersions()
	streams := openAt(healthy[0])
	f.moveRoute(2, otherService, append(healthy, cut)...)
	cut.awaitCut("/stream/x")
	streams = goOnAll(streams, cut)
	f.expectUnmixed(goOnAll(streams, healthy[1], cut))
}

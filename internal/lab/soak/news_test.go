package soak

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/clovertiller/clovertiller/internal/lab/runnerstand"
	"github.com/clovertiller/clovertiller/internal/lab/storestand"
	"github.com/clovertiller/clovertiller/platform"
)

const (
	testGateway = "gateway-0"
	testRequest = "request-1"
)

// checked returns a run with one engine and one call that was sent to a gateway.
func checked(t *testing.T) (*Soak, *runnerstand.Runner) {
	t.Helper()
	store := storestand.New()
	s := &Soak{
		settings: Settings{Out: io.Discard}, store: store, calls: newCallLog(), disturbances: newDisturbances(),
		runners: newFleet(store), config: newConfiguration(store),
	}
	t.Cleanup(s.runners.close)
	for _, id := range []string{"e0", "e1"} {
		NewWithT(t).Expect(s.runners.add(id, "engines", 1, runnerstand.Poison{})).To(Succeed())
	}
	s.calls.add(&callRecord{id: testRequest, path: "/stream/1", process: testGateway, repeatable: true})
	return s, s.runners.all()[0]
}

// send has the call reach the runner.
func send(t *testing.T, runner *runnerstand.Runner) {
	t.Helper()
	request, err := http.NewRequest(http.MethodPost, "http://"+runner.Address+"/stream/1", strings.NewReader("body"))
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	request.Header.Set(platform.HeaderRequestID, testRequest)
	response, err := http.DefaultClient.Do(request)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	response.Body.Close()
}

// past notes that the subject was disturbed until so long before the moment.
func (d *disturbances) past(moment time.Time, subject string, ago time.Duration) {
	end := moment.Add(-ago)
	d.spans[subject] = append(d.spans[subject], span{from: end.Add(-time.Second), to: end})
}

// lateCase is what happened before a request began.
type lateCase struct {
	news    time.Duration
	subject string
	calm    time.Duration
	broken  bool
}

func TestRequestsToLeavingRunnersAreFound(t *testing.T) {
	for name, test := range map[string]lateCase{
		"late":                            {news: drainTime + 100*time.Millisecond, broken: true},
		"in time":                         {news: drainTime - 100*time.Millisecond},
		"gateway disturbed":               {news: 2 * drainTime, subject: testGateway, calm: contactTime - 100*time.Millisecond},
		"gateway disturbed long ago":      {news: 2 * drainTime, subject: testGateway, calm: contactTime + 100*time.Millisecond, broken: true},
		"its store disturbed":             {news: 2 * drainTime, subject: storeOf(testGateway), calm: contactTime - 100*time.Millisecond},
		"other gateway disturbed":         {news: 2 * drainTime, subject: "gateway-1", broken: true},
		"store disturbed":                 {news: 2 * drainTime, subject: storeForEach, calm: contactTime - 100*time.Millisecond},
		"path to the runner disturbed":    {news: 2 * drainTime, subject: pathTo("e0")},
		"path to other runners disturbed": {news: 2 * drainTime, subject: pathTo("e1"), broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, runner := checked(t)
			s.runners.leave(runner)
			send(t, runner)
			arrived := runner.ArrivalLog()[0].ReceivedAt
			s.runners.leaves[runner.ID][0].from = arrived.Add(-test.news)
			s.disturbances.past(arrived, test.subject, test.calm)
			s.checkNews()
			expectBroken(t, s, test.broken, "leaving: 1 requests of gateway-0 at e0")
		})
	}
}

func TestRunsOnOlderWeightsAreFound(t *testing.T) {
	for name, test := range map[string]lateCase{
		"late":                       {news: versionTime + 100*time.Millisecond, broken: true},
		"in time":                    {news: versionTime - 100*time.Millisecond},
		"gateway disturbed":          {news: 2 * versionTime, subject: testGateway, calm: contactTime - 100*time.Millisecond},
		"gateway disturbed long ago": {news: 2 * versionTime, subject: testGateway, calm: contactTime + 100*time.Millisecond, broken: true},
		"other gateway disturbed":    {news: 2 * versionTime, subject: "gateway-1", broken: true},
		"its store disturbed":        {news: 2 * versionTime, subject: storeOf(testGateway), calm: versionTime - 100*time.Millisecond},
		"store disturbed":            {news: 2 * versionTime, subject: storeForEach, calm: versionTime - 100*time.Millisecond},
		"store disturbed long ago":   {news: 2 * versionTime, subject: storeForEach, calm: versionTime + 100*time.Millisecond, broken: true},
		"path disturbed long ago":    {news: 2 * versionTime, subject: pathTo("e0"), calm: contactTime + 100*time.Millisecond, broken: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, runner := checked(t)
			s.config.bump()
			send(t, runner)
			began := runner.Runs()[0].StartedAt
			s.config.namedAt[0] = began.Add(-test.news)
			s.disturbances.past(began, test.subject, test.calm)
			s.checkNews()
			expectBroken(t, s, test.broken, "older weights: 1 requests of gateway-0 at e0")
		})
	}
}

// A gateway that does not reach the store learns from the others that read it for all, and
// is held to that while one of them is sound.
func TestGatewaysAreHeldToWhatOthersTellThem(t *testing.T) {
	for name, test := range map[string]struct {
		disturbed []string
		broken    bool
	}{
		"its store disturbed":               {[]string{storeOf(testGateway)}, true},
		"and the other gateway":             {[]string{storeOf(testGateway), "gateway-1"}, false},
		"and the store of the other":        {[]string{storeOf(testGateway), storeOf("gateway-1")}, false},
		"and one that does not read it":     {[]string{storeOf(testGateway), storeOf("gateway-2")}, true},
		"itself, which others cannot mend":  {[]string{testGateway}, false},
		"the store, which others read, too": {[]string{storeForEach}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, runner := checked(t)
			s.processes = []*process{{name: testGateway}, {name: "gateway-1"}, {name: "gateway-2"}}
			s.runners.leave(runner)
			send(t, runner)
			arrived := runner.ArrivalLog()[0].ReceivedAt
			s.runners.leaves[runner.ID][0].from = arrived.Add(-2 * drainTime)
			for _, subject := range test.disturbed {
				s.disturbances.past(arrived, subject, contactTime-100*time.Millisecond)
			}
			s.checkNews()
			expectBroken(t, s, test.broken, "leaving: 1 requests of gateway-0 at e0")
		})
	}
}

// A second naming does not start the deadline of weights that the first had replaced anew.
func TestTheFirstNamingCounts(t *testing.T) {
	s, runner := checked(t)
	s.config.bump()
	s.config.bump()
	s.config.namedAt[0] = time.Now().Add(-2 * versionTime)
	send(t, runner)
	s.checkNews()
	expectBroken(t, s, true, "older weights: 1 requests of gateway-0 at e0")
}

func TestRunnersThatCameBackAreNotLeaving(t *testing.T) {
	s, runner := checked(t)
	comeBack := s.runners.leave(runner)
	s.runners.leaves[runner.ID][0].from = time.Now().Add(-2 * drainTime)
	s.runners.list(runner)
	s.runners.leave(runner)()
	object, _ := s.store.Get(platform.KindRunners, runner.ID)
	NewWithT(t).Expect(string(object.Spec)).To(ContainSubstring(`"draining"`))
	comeBack()
	send(t, runner)
	s.checkNews()
	expectBroken(t, s, false, "")
}

func expectBroken(t *testing.T, s *Soak, broken bool, text string) {
	t.Helper()
	g := NewWithT(t)
	if !broken {
		g.Expect(s.failures).To(BeEmpty())
		return
	}
	g.Expect(s.failures).To(HaveLen(1))
	g.Expect(s.failures[0]).To(HavePrefix(text))
}

package gateway

import (
	"net/http"
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/limits"
	"github.com/clovertiller/clovertiller/internal/routing"
)

// latencyBuckets are in seconds, dense around the targets.
var latencyBuckets = []float64{.005, .01, .02, .05, .1, .15, .2, .3, .47, .6, .8, 1, 2, 5, 10}

// quotaBuckets are in seconds, around the times of one and two round trips.
var quotaBuckets = []float64{.0002, .0005, .001, .002, .003, .005, .01, .02, .05, .1}

// runBuckets are numbers of requests at one runner, up to the slots of the largest seen.
var runBuckets = []float64{0, 1, 2, 4, 8, 16, 32, 64}

// quarantineBuckets are in seconds: three sends take a second where callers come back at
// once, and as long as they please otherwise.
var quarantineBuckets = []float64{.2, .5, 1, 2, 5, 10, 30, 60, 300, 3600}

// metrics are the gateway's measurements. No label holds a tenant or a request;
// routes that carry calls, services, kinds and outcomes are few.
type metrics struct {
	registry *prometheus.Registry

	calls       *prometheus.CounterVec
	latencies   *prometheus.HistogramVec
	firstEvents *prometheus.HistogramVec
	refusals    *prometheus.CounterVec

	attempts       *prometheus.CounterVec
	retries        *prometheus.CounterVec
	runnerFailures *prometheus.CounterVec
	placements     *prometheus.CounterVec
	promptTokens   *prometheus.CounterVec
	// runnerChecks counts questions whether a runner still runs, and runnerEndRuns tells the
	// requests that were at work on one that had ended.
	runnerChecks  *prometheus.CounterVec
	runnerEndRuns *prometheus.HistogramVec
	// quarantines counts contents that are not sent any more, and quarantineTimes tells how
	// long after the first runner's end this router knew that.
	quarantines     prometheus.Counter
	quarantineTimes prometheus.Histogram
	// signals counts what is new of what runners say of themselves in answers.
	signals *prometheus.CounterVec
	// limitedSends counts sends to runners that limit requests, and permitAges tells how long
	// before such a send its permit was asked for.
	limitedSends *prometheus.CounterVec
	permitAges   *prometheus.HistogramVec
	// grants counts permits that this router has granted, for itself and for others.
	grants      *prometheus.CounterVec
	connections prometheus.Counter
	// silentConnections counts kept connections to runners that were closed unused.
	silentConnections prometheus.Counter

	// suspensions counts the seconds for which the machine was suspended.
	suspensions prometheus.Counter

	storeCalls    *prometheus.HistogramVec
	storeFailures *prometheus.CounterVec
	// storeRestores counts how often the store came back from a copy while this router ran,
	// and storeBehind answers that were older than what was known.
	storeRestores prometheus.Counter
	storeBehind   *prometheus.CounterVec
	// storeLosses counts objects that the store had lost when it came back from a copy.
	storeLosses *prometheus.CounterVec
	renewals    *prometheus.CounterVec
	peerCalls   *prometheus.HistogramVec

	orders        *prometheus.CounterVec
	weightUpdates *prometheus.HistogramVec

	cacheReads *prometheus.CounterVec
	sources    *prometheus.CounterVec

	choices        *prometheus.CounterVec
	placementCalls *prometheus.HistogramVec

	// yields are the parts of their bounds that calls kept, and returns the calls that
	// came back when they were told to.
	yields  *prometheus.HistogramVec
	returns *prometheus.CounterVec
	// shareRefusals counts refusals where they are decided, at the router that chose.
	shareRefusals *prometheus.CounterVec

	quotaDecisions *prometheus.CounterVec
	// quotaFalseRefusals counts refusals of tenants that had room.
	quotaFalseRefusals prometheus.Counter
	quotaCalls         *prometheus.HistogramVec
	quotaWaits         prometheus.Histogram
}

const namespace = "clovertiller"

func newMetrics(g *Gateway) *metrics {
	m := &metrics{
		registry:     prometheus.NewRegistry(),
		calls:        counters("calls_total", "Calls sent to a runner, by how they ended.", "route", "service", "kind", "outcome"),
		latencies:    seconds("call_seconds", "Time from a call's arrival to its end.", "service", "kind"),
		firstEvents:  seconds("first_event_seconds", "Time from a call's arrival to the first event of its stream.", "service"),
		refusals:     counters("refusals_total", "Calls refused without having run, by status and reason.", "status", "reason"),
		signals:      counters("runner_signals_total", "Answers in which a runner said something new of itself, by what it was.", "service", "signal"),
		limitedSends: counters("limited_sends_total", "Sends to runners that limit requests, by whether a permit allowed them.", "service", "outcome"),
		permitAges: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "permit_age_seconds", Help: "Time from the question for a permit to the send that it allowed.", Buckets: quotaBuckets,
		}, []string{"service"}),
		grants:         counters("permits_granted_total", "Permits that this router has granted for sends to runners that limit requests.", "service"),
		attempts:       counters("attempts_total", "Sends of calls to runners.", "service"),
		retries:        counters("retries_total", "Further attempts that were wanted, by whether they were made.", "service", "outcome"),
		runnerFailures: counters("runner_failures_total", "Sends that were not answered well.", "service", "outcome"),
		placements:     counters("placements_total", "Prompts placed, by whether the runner is expected to keep their shared parts.", "service", "kept"),
		promptTokens:   counters("prompt_tokens_total", "Prompt tokens placed, by whether the runner is expected to keep them.", "service", "kept"),
		runnerChecks:   counters("runner_checks_total", "Questions, after an answer that broke off, whether its runner still runs, by answer.", "service", "outcome"),
		runnerEndRuns: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "runner_end_runs", Help: "Requests of this router that were at work on a runner that was found to have ended.", Buckets: runBuckets,
		}, []string{"service"}),
		quarantines: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "quarantines_total", Help: "Contents that this router began to refuse as runners ended under them.",
		}),
		quarantineTimes: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "quarantine_seconds", Help: "Time from the end of the first runner under a content until this router refuses it.", Buckets: quarantineBuckets,
		}),
		connections: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "runner_connections_total", Help: "Connections opened to runners.",
		}),
		silentConnections: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "runner_connections_silent_total", Help: "Kept connections to runners that were closed unused, as they may have fallen silent.",
		}),
		suspensions: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "suspended_seconds_total", Help: "Time for which the machine was suspended since the process started.",
		}),
		storeCalls:    seconds("store_call_seconds", "Calls to the store, watches with their waits.", "kind", "call"),
		storeFailures: counters("store_failures_total", "Calls to the store that failed, by kind of object.", "kind"),
		storeRestores: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_restores_total", Help: "Times that the store came back from a copy, without what it had acknowledged since.",
		}),
		storeBehind:   counters("store_answers_behind_total", "Answers of the store that were older than what was known.", "kind"),
		storeLosses:   counters("store_lost_objects_total", "Objects that the store came back with in an earlier state, without, or with again though they were gone.", "kind", "state"),
		renewals:      counters("watch_renewals_total", "Watches that were behind and made anew, by whether the next one brought changes.", "kind", "outcome"),
		peerCalls:     seconds("peer_call_seconds", "Pulls of changes from other routers.", "outcome"),
		orders:        counters("orders_total", "Orders given to runners, by outcome.", "outcome"),
		weightUpdates: seconds("weight_update_seconds", "Time to bring one runner to named weights.", "outcome"),
		cacheReads:    counters("cache_reads_total", "Calls for what runners and stores of kept cache keep, by what was read.", "read"),
		sources:       counters("fetch_sources_total", "Prompts sent with a source of cached parts, or without one.", "source"),

		choices:        counters("choices_total", "Choices of a runner, by who made them.", "by"),
		placementCalls: seconds("placement_call_seconds", "Questions to routers that place requests for others.", "outcome"),

		yields: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "bound_yield", Help: "Part of its longest queueing time that more urgent requests left to a call.", Buckets: yieldBuckets,
		}, []string{"route"}),
		returns:       counters("returns_total", "Calls that came back at the moment that they were told, by whether they were let in.", "route", "outcome"),
		shareRefusals: counters("share_refusals_total", "Requests refused by this router's choice only as their tenant is beyond its fair share of the service.", "service"),

		quotaDecisions: counters("quota_decisions_total", "Calls counted against their tenant's limit, by who decided.", "by", "outcome"),
		quotaFalseRefusals: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "quota_refusals_below_limit_total", Help: "Calls refused for their tenant's limit by all keepers although their parts together had room.",
		}),
		quotaCalls: seconds("quota_call_seconds", "Questions to routers that keep limits.", "outcome"),
		quotaWaits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "quota_wait_seconds", Help: "How long calls waited until their tenant's limit allowed them.", Buckets: quotaBuckets,
		}),
	}
	m.registry.MustRegister(
		m.calls, m.latencies, m.firstEvents, m.refusals, m.attempts, m.retries, m.runnerFailures, m.placements, m.promptTokens, m.runnerChecks, m.runnerEndRuns, m.quarantines, m.quarantineTimes, m.signals, m.limitedSends, m.permitAges, m.grants, m.suspensions, m.connections, m.silentConnections,
		m.storeCalls, m.storeFailures, m.storeRestores, m.storeBehind, m.storeLosses, m.renewals, m.peerCalls, m.orders, m.weightUpdates, m.cacheReads, m.sources, m.choices, m.placementCalls, m.yields, m.returns, m.shareRefusals,
		m.quotaDecisions, m.quotaFalseRefusals, m.quotaCalls, m.quotaWaits, &runnerStates{gateway: g}, &copyAges{gateway: g}, &contentStates{gateway: g}, &serviceWork{gateway: g},
		gauge("placed_requests", "Open requests that this router has placed for others.", func() float64 { return g.schedulers.placedCount() }),
		gauge("routers", "Routers that there seem to be, by which budgets and limits are shared out; 0 when unknown.", func() float64 { return float64(g.routers.Load()) }),
		gauge("quota_tenants", "Tenants whose limits this router keeps a part of.", func() float64 { return g.limits.TenantCount() }),
		gauge("share_tenants", "Tenants of whose recent use of services this router keeps a sum.", func() float64 { return g.shares.tenantCount() }),
		gauge("store_era", "Era of the store: how often it came back from a copy, counted by itself; 0 when unknown.", func() float64 { return float64(g.era.newest()) }),
		gauge("config_version", "Version of the configuration in force.", g.configVersion),
		gauge("config_proof_age_seconds", "Time since the configuration in force was proved; -1 without one.", g.proofAge),
		gauge("peer_connections_silent", "Connections to other routers closed since they answered nothing.", func() float64 { return g.relays.silentConnectionCount() }),
		gauge("log_lines_dropped", "Log lines dropped because the output did not take them.", func() float64 { return float64(g.droppedLines()) }),
	)
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func seconds(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}, labels)
}

func gauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value)
}

func (g *Gateway) configVersion() float64 {
	if current := g.view.Load(); current != nil {
		return float64(current.table.Version)
	}
	return 0
}

func (g *Gateway) proofAge() float64 {
	if current := g.view.Load(); current != nil && !current.provenAt.IsZero() {
		return g.since(current.provenAt).Seconds()
	}
	return -1
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ended notes the end of a call of the route that was sent to the service.
func (m *metrics) ended(route *routing.Route, service, outcome string, after time.Duration) {
	m.calls.WithLabelValues(route.Name, service, route.Kind.String(), outcome).Inc()
	m.latencies.WithLabelValues(service, route.Kind.String()).Observe(after.Seconds())
}

func (m *metrics) refused(status int, reason string) {
	m.refusals.WithLabelValues(strconv.Itoa(status), reason).Inc()
}

// limitedSend notes a send to a runner that limits requests, right before it, with the age
// of its permit.
func (m *metrics) limitedSend(service string, permitted bool, age time.Duration) {
	if !permitted {
		m.limitedSends.WithLabelValues(service, "not permitted").Inc()
		return
	}
	m.limitedSends.WithLabelValues(service, "permitted").Inc()
	m.permitAges.WithLabelValues(service).Observe(age.Seconds())
}

// Labels of placements and prompt tokens.
const (
	labelKept = "yes"
	labelRead = "no"
)

// placed notes a prompt's placement with the tokens that it is expected to find.
func (m *metrics) placed(query backend.Query, cached int) {
	if query.PromptTokens == 0 {
		return
	}
	hit := labelRead
	if query.SharedTokens > 0 && cached >= query.SharedTokens {
		hit = labelKept
	}
	m.placements.WithLabelValues(query.Service, hit).Inc()
	m.promptTokens.WithLabelValues(query.Service, labelKept).Add(float64(cached))
	m.promptTokens.WithLabelValues(query.Service, labelRead).Add(float64(max(query.PromptTokens-cached, 0)))
}

// Names of the calls to the store and of their outcomes.
const (
	callList       = "list"
	callWatch      = "watch"
	callRead       = "read"
	callWrite      = "write"
	leaseKind      = "lease"
	quarantineKind = "quarantines"
	outcomeDone    = "done"
	outcomeFailed  = "failed"
	retrySent      = "sent"
	retryNoBudget  = "no budget"
	retryNoBackend = "no runner"
)

func (m *metrics) storeCall(kind, call string, taken time.Duration) {
	m.storeCalls.WithLabelValues(kind, call).Observe(taken.Seconds())
}

func outcomeOf(done bool) string {
	if done {
		return outcomeDone
	}
	return outcomeFailed
}

func renewalOutcome(changed bool) string {
	if changed {
		return "changes"
	}
	return "none"
}

// Who chose a runner, in counters and logs.
const (
	schedulerChoices = "scheduler"
	chosenHere       = "itself"
)

// yieldBuckets are shares, dense where little is left.
var yieldBuckets = []float64{.05, .1, .2, .3, .5, .7, .9, .999}

// limited notes the bound of a call's queueing and whether it was refused by it.
func (m *metrics) limited(route string, refused bool, limit admission.QueueLimit) {
	m.yields.WithLabelValues(route).Observe(limit.PriorityFactor)
	if limit.Returned {
		outcome := "let in"
		if refused {
			outcome = "refused"
		}
		m.returns.WithLabelValues(route, outcome).Inc()
	}
}

// quotaDecided counts a decision about a tenant's limit.
func (m *metrics) quotaDecided(decision limits.Decision, waited time.Duration) {
	outcome := "refused"
	if decision.Granted {
		outcome = "granted"
	}
	m.quotaDecisions.WithLabelValues(string(decision.DecidedBy), outcome).Inc()
	if decision.BelowLimit && !decision.Granted {
		m.quotaFalseRefusals.Inc()
	}
	m.quotaWaits.Observe(waited.Seconds())
}

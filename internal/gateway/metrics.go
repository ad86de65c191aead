package gateway

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/clovertiller/clovertiller/internal/admission"
	"github.com/clovertiller/clovertiller/internal/backend"
	"github.com/clovertiller/clovertiller/internal/limits"
	"github.com/clovertiller/clovertiller/internal/routing"
)

// latencyBuckets are in seconds, with more buckets around the target latencies.
var latencyBuckets = []float64{.005, .01, .02, .05, .1, .15, .2, .3, .47, .6, .8, 1, 2, 5, 10}

// quotaBuckets are in seconds, around the times of one and two round trips.
var quotaBuckets = []float64{.0002, .0005, .001, .002, .003, .005, .01, .02, .05, .1}

// requestCountBuckets are numbers of requests at one runner, up to the number of slots of the
// largest runner observed.
var requestCountBuckets = []float64{0, 1, 2, 4, 8, 16, 32, 64}

// quarantineBuckets are in seconds. The three sends until a quarantine take about one second if
// callers retry at once, and otherwise as long as the callers wait between retries.
var quarantineBuckets = []float64{.2, .5, 1, 2, 5, 10, 30, 60, 300, 3600}

// metrics holds the Prometheus collectors of the gateway. No label contains a tenant or a
// request, so that the number of series stays small: there are few routes, services, kinds and
// outcomes.
type metrics struct {
	registry *prometheus.Registry

	calls               *prometheus.CounterVec
	callLatencies       *prometheus.HistogramVec
	firstEventLatencies *prometheus.HistogramVec
	refusals            *prometheus.CounterVec
	// unansweredRequests counts the requests that ended without a complete response.
	unansweredRequests *prometheus.CounterVec
	// handlerPanics counts the panics in the handlers of calls, by whether the caller got a response.
	handlerPanics *prometheus.CounterVec
	// startRefusals counts the refusals before this router knew all runners, and startStages holds the
	// seconds from its start to each stage.
	startRefusals *prometheus.CounterVec
	startStages   *prometheus.GaugeVec
	// descriptorsExhausted counts how often a connection could not be accepted for want of a descriptor.
	descriptorsExhausted prometheus.Counter
	// directoryPages counts the received pages of the directory.
	directoryPages prometheus.Counter

	attempts       *prometheus.CounterVec
	retries        *prometheus.CounterVec
	runnerFailures *prometheus.CounterVec
	// refusalProofs counts the attempts of refused calls by what proves that they did not run.
	refusalProofs *prometheus.CounterVec
	// responseEnds counts the response bodies read, by framing and verdict.
	responseEnds *prometheus.CounterVec
	// streamRecords counts the records of streams that were kept, by what they changed, and streamLookups the
	// questions where a stream began.
	streamRecords *prometheus.CounterVec
	streamLookups *prometheus.CounterVec
	placements    *prometheus.CounterVec
	promptTokens  *prometheus.CounterVec
	// sendDistances counts the requests sent by the distance of the runner, and for other regions
	// also by the reason.
	sendDistances *prometheus.CounterVec
	// runnerChecks counts the checks whether a runner is still running, and requestsAtCrash
	// observes the number of requests that were running on a runner when it crashed.
	runnerChecks *prometheus.CounterVec
	// silentRunnerChecks counts the checks of the runners of silent streams.
	silentRunnerChecks *prometheus.CounterVec
	requestsAtCrash    *prometheus.HistogramVec
	// quarantines counts the contents quarantined, partQuarantines the prompt parts, liftedQuarantines the
	// quarantines that operators lifted, and quarantineDelays observes the time from the
	// first runner's crash until this router knew of the quarantine.
	quarantines, partQuarantines, liftedQuarantines prometheus.Counter
	// heldRequests observes how long requests waited for the decision about a prompt part.
	heldRequests prometheus.Histogram

	quarantineDelays prometheus.Histogram
	// runnerSignals counts the changes of state that runners report in their responses.
	runnerSignals *prometheus.CounterVec
	// limitedSends counts sends to runners with a request limit, and permitAges observes how
	// long before the send its permit was requested.
	limitedSends *prometheus.CounterVec
	permitAges   *prometheus.HistogramVec
	// permitsGranted counts the permits that this router has granted, to itself and to others.
	permitsGranted    *prometheus.CounterVec
	runnerConnections prometheus.Counter
	// silentRunnerConnections counts idle connections to runners that were closed because they may
	// no longer deliver data.
	silentRunnerConnections prometheus.Counter
	// runnerDialErrors counts the connections to runners that could not be opened.
	runnerDialErrors *prometheus.CounterVec
	// forwardedCalls counts the calls forwarded to other routers, servedForwarded those forwarded to this
	// one, and pathProbes the probes of services whose links are at fault.
	forwardedCalls  *prometheus.CounterVec
	servedForwarded *prometheus.CounterVec
	pathProbes      *prometheus.CounterVec
	// placedSendEnds counts the reported ends of requests that this router placed for others, and
	// placedSendWaits observes how long those had been open of which no response began.
	placedSendEnds  *prometheus.CounterVec
	placedSendWaits prometheus.Histogram

	// suspendedSeconds counts the seconds for which the machine was suspended.
	suspendedSeconds prometheus.Counter

	storeCalls    *prometheus.HistogramVec
	storeFailures *prometheus.CounterVec
	// storeRestores counts the restores of the store from a backup while this router ran, and
	// staleStoreResponses the responses that were older than the known state.
	storeRestores       prometheus.Counter
	staleStoreResponses *prometheus.CounterVec
	// storeLostObjects counts the objects that a restored store had lost or reverted.
	storeLostObjects *prometheus.CounterVec
	watchRenewals    *prometheus.CounterVec
	peerCalls        *prometheus.HistogramVec

	orders        *prometheus.CounterVec
	weightUpdates *prometheus.HistogramVec

	cacheReads   *prometheus.CounterVec
	fetchSources *prometheus.CounterVec

	runnerChoices  *prometheus.CounterVec
	placementCalls *prometheus.HistogramVec

	// priorityFactors observes the factors by which more urgent requests reduced the calls' queue
	// limits, and callerReturns counts the calls that were retried at the time named in their
	// refusal.
	priorityFactors *prometheus.HistogramVec
	callerReturns   *prometheus.CounterVec
	// shareRefusals counts refusals for a tenant's fair share, on the router that decided them.
	shareRefusals *prometheus.CounterVec
	// rolloutFallbacks counts requests that went to the target version of a rollout, uncounted by its
	// leader, as no runner of the other versions was left.
	rolloutFallbacks *prometheus.CounterVec

	quotaDecisions *prometheus.CounterVec
	// quotaFalseRefusals counts refusals of tenants whose quota was not used up.
	quotaFalseRefusals prometheus.Counter
	endlessResponses   *prometheus.CounterVec
	evictions          *prometheus.CounterVec
	quotaCalls         *prometheus.HistogramVec
	quotaWaits         prometheus.Histogram
}

const namespace = "clovertiller"

func newMetrics(g *Gateway) *metrics {
	m := &metrics{
		registry:            prometheus.NewRegistry(),
		calls:               newCounterVec("calls_total", "Calls sent to a runner, by how they ended.", "route", "service", "kind", "outcome"),
		callLatencies:       newLatencyVec("call_seconds", "Time from a call's arrival to its end.", "service", "kind"),
		firstEventLatencies: newLatencyVec("first_event_seconds", "Time from a call's arrival to the first event of its stream.", "service"),
		descriptorsExhausted: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "descriptors_exhausted_total", Help: "Connections that could not be accepted at once because no file descriptor was free.",
		}),
		directoryPages: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "directory_pages_total", Help: "Pages of the directory received while it was incomplete.",
		}),
		startRefusals: newCounterVec("start_refusals_total", "Calls refused without having run before the router knew all runners, by reason.", "reason"),
		startStages: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Namespace: namespace, Name: "start_stage_seconds", Help: "Time from the start of the router to the stage.",
		}, []string{"stage"}),
		unansweredRequests: newCounterVec("unanswered_requests_total", "Requests whose connection ended without a complete response, by cause.", "cause"),
		handlerPanics:      newCounterVec("handler_panics_total", "Panics while a request was handled, by whether the caller got a response.", "answered"),
		refusals:           newCounterVec("refusals_total", "Calls refused without having run, by status and reason.", "status", "reason"),
		runnerSignals:      newCounterVec("runner_signals_total", "Answers in which a runner said something new of itself, by what it was.", "service", "signal"),
		limitedSends:       newCounterVec("limited_sends_total", "Sends to runners that limit requests, by whether a permit allowed them.", "service", "outcome"),
		permitAges: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "permit_age_seconds", Help: "Time from the question for a permit to the send that it allowed.", Buckets: quotaBuckets,
		}, []string{"service"}),
		permitsGranted:     newCounterVec("permits_granted_total", "Permits that this router has granted for sends to runners that limit requests.", "service"),
		attempts:           newCounterVec("attempts_total", "Sends of calls to runners.", "service"),
		retries:            newCounterVec("retries_total", "Further attempts that were wanted, by whether they were made.", "service", "outcome"),
		refusalProofs:      newCounterVec("refusal_proofs_total", "Attempts of refused calls, by what proves that they did not run.", "service", "proof"),
		runnerFailures:     newCounterVec("runner_failures_total", "Sends that were not answered well.", "service", "outcome"),
		responseEnds:       newCounterVec("response_ends_total", "Bodies of responses read from runners and egress routers, by how their end was marked and how they ended.", "service", "framing", "end"),
		streamRecords:      newCounterVec("stream_records_total", "Records kept of the software versions at which streams began, by what each changed.", "result"),
		streamLookups:      newCounterVec("stream_lookups_total", "Streams that callers took up, by what was known of the software version that began them.", "resolution"),
		placements:         newCounterVec("placements_total", "Prompts placed, by whether the runner is expected to keep their shared parts.", "service", "kept"),
		sendDistances:      newCounterVec("sends_by_distance_total", "Requests sent, by whether the runner is in the same zone, in the same region or in another region, and why they left the region.", "service", "distance", "reason"),
		promptTokens:       newCounterVec("prompt_tokens_total", "Prompt tokens placed, by whether the runner is expected to keep them.", "service", "kept"),
		silentRunnerChecks: newCounterVec("silent_runner_checks_total", "Checks whether the runner of a silent stream has ended, by verdict.", "service", "verdict"),
		runnerChecks:       newCounterVec("runner_checks_total", "Questions, after an answer that broke off, whether its runner still runs, by answer.", "service", "outcome"),
		requestsAtCrash: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "runner_end_runs", Help: "Requests of this router that were at work on a runner that was found to have ended.", Buckets: requestCountBuckets,
		}, []string{"service"}),
		partQuarantines: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "part_quarantines_total", Help: "Parts of prompts that this router began to refuse as runners ended under them.",
		}),
		liftedQuarantines: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "lifted_quarantines_total", Help: "Quarantines that operators lifted at this router.",
		}),
		heldRequests: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "held_request_seconds", Help: "How long requests waited until it was decided whether a part of their prompt is quarantined.", Buckets: prometheus.ExponentialBuckets(0.02, 2, 6),
		}),
		quarantines: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "quarantines_total", Help: "Contents that this router began to refuse as runners ended under them.",
		}),
		quarantineDelays: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "quarantine_seconds", Help: "Time from the end of the first runner under a content until this router refuses it.", Buckets: quarantineBuckets,
		}),
		runnerConnections: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "runner_connections_total", Help: "Connections opened to runners.",
		}),
		silentRunnerConnections: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "runner_connections_silent_total", Help: "Kept connections to runners that were closed unused, as they may have fallen silent.",
		}),
		runnerDialErrors: newCounterVec("runner_dial_errors_total", "Connections to runners that could not be opened, by cause.", "cause"),
		forwardedCalls:   newCounterVec("forwarded_calls_total", "Calls forwarded to another router because this one could not reach the runners, by result.", "service", "result"),
		servedForwarded:  newCounterVec("served_forwarded_calls_total", "Calls that other routers forwarded to this one, by whether it accepted them or why not.", "service", "result"),
		pathProbes:       newCounterVec("path_probes_total", "Connections opened to find out whether the runners of a service can be reached, by outcome.", "service", "outcome"),
		placedSendEnds:   newCounterVec("placed_request_ends_total", "Reported ends of requests that this router placed for others, by outcome and whether their sender had begun to send them.", "outcome", "sent"),
		placedSendWaits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "placed_request_wait_seconds", Help: "Time that requests placed for others were counted at their runner although no response began.", Buckets: latencyBuckets,
		}),
		suspendedSeconds: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "suspended_seconds_total", Help: "Time for which the machine was suspended since the process started.",
		}),
		storeCalls:    newLatencyVec("store_call_seconds", "Calls to the store, watches with their waits.", "kind", "call"),
		storeFailures: newCounterVec("store_failures_total", "Calls to the store that failed, by kind of object.", "kind"),
		storeRestores: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "store_restores_total", Help: "Times that the store came back from a copy, without what it had acknowledged since.",
		}),
		staleStoreResponses: newCounterVec("store_answers_behind_total", "Answers of the store that were older than what was known.", "kind"),
		storeLostObjects:    newCounterVec("store_lost_objects_total", "Objects that the store came back with in an earlier state, without, or with again though they were gone.", "kind", "state"),
		watchRenewals:       newCounterVec("watch_renewals_total", "Watches that were behind and made anew, by whether the next one brought changes.", "kind", "outcome"),
		peerCalls:           newLatencyVec("peer_call_seconds", "Pulls of changes from other routers.", "outcome"),
		orders:              newCounterVec("orders_total", "Orders given to runners, by outcome.", "outcome"),
		weightUpdates:       newLatencyVec("weight_update_seconds", "Time to bring one runner to named weights.", "outcome"),
		cacheReads:          newCounterVec("cache_reads_total", "Calls for what runners and stores of kept cache keep, by what was read.", "read"),
		fetchSources:        newCounterVec("fetch_sources_total", "Prompts sent with a source of cached parts, or without one.", "source"),

		runnerChoices:  newCounterVec("choices_total", "Choices of a runner, by who made them.", "by"),
		placementCalls: newLatencyVec("placement_call_seconds", "Questions to routers that place requests for others.", "outcome"),

		priorityFactors: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "bound_yield", Help: "Part of its longest queueing time that more urgent requests left to a call.", Buckets: priorityFactorBuckets,
		}, []string{"route"}),
		callerReturns: newCounterVec("returns_total", "Calls that came back at the moment that they were told, by whether they were let in.", "route", "outcome"),
		shareRefusals: newCounterVec("share_refusals_total", "Requests refused by this router's choice only as their tenant is beyond its fair share of the service.", "service"),

		rolloutFallbacks: newCounterVec("rollout_fallbacks_total", "Choices of the target version of a promoted rollout because no runner of the other versions could be reached.", "service"),

		quotaDecisions: newCounterVec("quota_decisions_total", "Calls counted against their tenant's limit, by who decided.", "by", "outcome"),
		quotaFalseRefusals: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: namespace, Name: "quota_refusals_below_limit_total", Help: "Calls refused for their tenant's limit by all keepers although their parts together had room.",
		}),
		endlessResponses: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "endless_responses_total", Help: "Responses given up because their head or body does not end.",
		}, []string{"to", "part"}),
		quotaCalls: newLatencyVec("quota_call_seconds", "Questions to routers that keep limits.", "outcome"),
		quotaWaits: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "quota_wait_seconds", Help: "How long calls waited until their tenant's limit allowed them.", Buckets: quotaBuckets,
		}),
	}
	m.evictions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "evictions_total", Help: "Connections and requests ended before they had arrived whole, by what was missing.",
	}, []string{"class"})
	m.registry.MustRegister(m.endlessResponses, m.evictions, newGauge("request_memory_bytes", "Memory that open connections and calls hold.", func() float64 { return float64(g.memory.Held()) }))
	m.registry.MustRegister(
		m.calls, m.callLatencies, m.firstEventLatencies, m.refusals, m.unansweredRequests, m.handlerPanics, m.startRefusals, m.startStages, m.directoryPages, m.descriptorsExhausted, m.attempts, m.retries, m.runnerFailures, m.refusalProofs, m.responseEnds, m.streamRecords, m.streamLookups, m.placements, m.promptTokens, m.sendDistances, m.runnerChecks, m.silentRunnerChecks, m.requestsAtCrash, m.quarantines, m.partQuarantines, m.liftedQuarantines, m.heldRequests, m.quarantineDelays, m.runnerSignals, m.limitedSends, m.permitAges, m.permitsGranted, m.suspendedSeconds, m.runnerConnections, m.silentRunnerConnections, m.runnerDialErrors, m.placedSendEnds, m.placedSendWaits, m.forwardedCalls, m.servedForwarded, m.pathProbes,
		m.storeCalls, m.storeFailures, m.storeRestores, m.staleStoreResponses, m.storeLostObjects, m.watchRenewals, m.peerCalls, m.orders, m.weightUpdates, m.cacheReads, m.fetchSources, m.runnerChoices, m.placementCalls, m.priorityFactors, m.callerReturns, m.shareRefusals, m.rolloutFallbacks,
		m.quotaDecisions, m.quotaFalseRefusals, m.quotaCalls, m.quotaWaits, &runnerStateCollector{gateway: g}, &copyAgeCollector{gateway: g}, &peerTrafficCollector{gateway: g}, &contentStateCollector{gateway: g}, &serviceStatsCollector{gateway: g}, &rolloutCollector{gateway: g},
		newGauge("stream_records", "Records of the software versions at which streams began.", func() float64 { records, _ := g.streams.recordCounts(); return float64(records) }),
		newGauge("stream_records_dropped", "Records that were dropped before their time, as there were too many.", func() float64 { _, dropped := g.streams.recordCounts(); return float64(dropped) }),
		newGauge("runners_lost", "Single runners to which this router has lost its path.", func() float64 { return float64(g.paths.lostCount()) }),
		newGauge("services_cut", "Services to whose runners this router has lost its links.", func() float64 { return float64(len(g.paths.cutServices())) }),
		newGauge("refuted_runner_failures", "Failures of routers to reach a runner that were no evidence about it, as it answered others.", g.refutedFailures),
		newGauge("forwarded_calls_open", "Calls of other routers that this one is serving.", func() float64 { return float64(g.egress.openCalls.Load()) }),
		newGauge("placed_requests", "Open requests that this router has placed for others.", func() float64 { return g.schedulers.placedCount() }),
		newGauge("region_schedulers", "Schedulers of the own region that this router knows; 0 without regions.", func() float64 { known, _ := g.schedulers.regionSchedulerCounts(); return float64(known) }),
		newGauge("region_schedulers_answering", "Schedulers of the own region that have answered this router and are not silent.", func() float64 { _, answering := g.schedulers.regionSchedulerCounts(); return float64(answering) }),
		newGauge("standby_scheduler_active", "1 while this router is no seed and is asked to place requests.", g.activeStandby),
		newGauge("routers", "Routers that there seem to be, by which budgets and limits are shared out; 0 when unknown.", func() float64 { return float64(g.knownRouters.Load()) }),
		newGauge("quota_tenants", "Tenants whose limits this router keeps a part of.", func() float64 { return g.limits.TenantCount() }),
		newGauge("share_tenants", "Tenants of whose recent use of services this router keeps a sum.", func() float64 { return g.fairShares.tenantCount() }),
		newGauge("store_era", "Era of the store: how often it came back from a copy, counted by itself; 0 when unknown.", func() float64 { return float64(g.eraTracker.newest()) }),
		newGauge("config_version", "Version of the configuration in force.", g.activeConfigVersion),
		newGauge("config_proof_age_seconds", "Time since the configuration in force was proved; -1 without one.", g.configProofAge),
		newGauge("peer_connections_silent", "Connections to other routers closed since they answered nothing.", func() float64 { return g.peerRouters.silentConnectionCount() }),
		newGauge("log_lines_dropped", "Log lines dropped because the output did not take them.", func() float64 { return float64(g.droppedLogLines()) }),
	)
	return m
}

func newCounterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func newLatencyVec(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: latencyBuckets}, labels)
}

func newGauge(name, help string, value func() float64) prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, value)
}

func (g *Gateway) activeStandby() float64 {
	if g.schedulers.isActiveStandby(g.now()) {
		return 1
	}
	return 0
}

func (g *Gateway) activeConfigVersion() float64 {
	if current := g.activeConfig.Load(); current != nil {
		return float64(current.table.Version)
	}
	return 0
}

func (g *Gateway) configProofAge() float64 {
	if current := g.activeConfig.Load(); current != nil && !current.provenAt.IsZero() {
		return g.since(current.provenAt).Seconds()
	}
	return -1
}

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// observeCallEnd records the end of a call that was sent to a runner of the service, and its
// total duration.
func (m *metrics) observeCallEnd(route *routing.Route, service, outcome string, duration time.Duration) {
	m.calls.WithLabelValues(route.Name, service, route.Kind.String(), outcome).Inc()
	m.callLatencies.WithLabelValues(service, route.Kind.String()).Observe(duration.Seconds())
}

func (m *metrics) countRefusal(status int, reason string) {
	m.refusals.WithLabelValues(strconv.Itoa(status), reason).Inc()
}

// observeLimitedSend records a send to a runner with a request limit immediately before it,
// with the age of its permit.
func (m *metrics) observeLimitedSend(service string, permitted bool, age time.Duration) {
	if !permitted {
		m.limitedSends.WithLabelValues(service, "not permitted").Inc()
		return
	}
	m.limitedSends.WithLabelValues(service, "permitted").Inc()
	m.permitAges.WithLabelValues(service).Observe(age.Seconds())
}

// Values of labels that tell whether something holds.
const (
	labelYes = "yes"
	labelNo  = "no"
)

// Values of the label that tells whether prompt parts are cached.
const (
	labelCached    = labelYes
	labelNotCached = labelNo
)

// countPlacement records the placement of a prompt and the number of its tokens that the runner
// is expected to have cached.
func (m *metrics) countPlacement(query backend.Query, cached int) {
	if query.PromptTokens == 0 {
		return
	}
	cachedLabel := labelNotCached
	if query.SharedTokens > 0 && cached >= query.SharedTokens {
		cachedLabel = labelCached
	}
	m.placements.WithLabelValues(query.Service, cachedLabel).Inc()
	m.promptTokens.WithLabelValues(query.Service, labelCached).Add(float64(cached))
	m.promptTokens.WithLabelValues(query.Service, labelNotCached).Add(float64(max(query.PromptTokens-cached, 0)))
}

// Values of metric labels for calls to the store, kinds of objects and outcomes.
const (
	callList       = "list"
	callWatch      = "watch"
	callRead       = "read"
	callWrite      = "write"
	leaseKind      = "lease"
	quarantineKind = "quarantines"
	// streamOriginsKind is the kind of the objects about the origins of streams.
	streamOriginsKind = "streams"
	outcomeDone       = "done"
	outcomeFailed     = "failed"
	retrySent         = "sent"
	retryNoBudget     = "no budget"
	retryNoRunner     = "no runner"
)

func (m *metrics) observeStoreCall(kind, call string, duration time.Duration) {
	m.storeCalls.WithLabelValues(kind, call).Observe(duration.Seconds())
}

func outcomeLabel(succeeded bool) string {
	if succeeded {
		return outcomeDone
	}
	return outcomeFailed
}

// Causes of failed dials, as in metrics.
const (
	dialRefused = "refused"
	dialTimeout = "timeout"
	dialFailed  = "other"
)

// countDialError records a connection to a runner that could not be opened.
func (m *metrics) countDialError(err error) {
	cause := dialFailed
	var netErr net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		cause = dialRefused
	case errors.As(err, &netErr) && netErr.Timeout():
		cause = dialTimeout
	}
	m.runnerDialErrors.WithLabelValues(cause).Inc()
}

// observePlacedSendEnd records the reported end of a request that this router placed for another.
func (m *metrics) observePlacedSendEnd(outcome backend.Outcome, notSent, responded bool, open time.Duration) {
	m.placedSendEnds.WithLabelValues(outcome.String(), strconv.FormatBool(!notSent)).Inc()
	if !responded {
		m.placedSendWaits.Observe(open.Seconds())
	}
}

func renewalOutcomeLabel(changed bool) string {
	if changed {
		return "changes"
	}
	return "none"
}

// Values that tell who chose a runner, in metrics and logs.
const (
	chosenByScheduler = "scheduler"
	chosenLocally     = "itself"
)

// priorityFactorBuckets are factors between 0 and 1, with more buckets at low values.
var priorityFactorBuckets = []float64{.05, .1, .2, .3, .5, .7, .9, .999}

// observeQueueLimit records the queue limit of a call and whether the call was refused because of
// it.
func (m *metrics) observeQueueLimit(route string, refused bool, limit admission.QueueLimit) {
	m.priorityFactors.WithLabelValues(route).Observe(limit.PriorityFactor)
	if limit.Returned {
		outcome := "let in"
		if refused {
			outcome = "refused"
		}
		m.callerReturns.WithLabelValues(route, outcome).Inc()
	}
}

// observeQuotaDecision records a decision on a tenant's quota.
func (m *metrics) observeQuotaDecision(decision limits.Decision, waited time.Duration) {
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

// refutedFailures returns the number of failures to reach a runner that were no evidence about it.
func (g *Gateway) refutedFailures() float64 {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return float64(g.runners.RefutedFailures())
}

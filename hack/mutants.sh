#!/usr/bin/env bash
# Mutation tests: disables one mechanism at a time in a scratch copy and runs the test
# that must then fail. Prints one line per mutant and a summary at the end. A mutant that
# is not applied or does not build, or whose test times out, proves nothing and is counted
# separately as unclear.
set -u
cd "$(dirname "$0")/.."
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
refuted=0
survived=0
unclear=0

mutant() { # name, file, perl expression, package, arguments of the test
  rm -rf "$scratch/tree"
  mkdir "$scratch/tree"
  git ls-files -z --cached --others --exclude-standard | xargs -0 cp --parents -t "$scratch/tree"
  perl -0pi -e "$3" "$scratch/tree/$2"
  if cmp -s "$2" "$scratch/tree/$2"; then
    echo "mutant $1: NOT APPLIED"
    unclear=$((unclear + 1))
    return
  fi
  if ! (cd "$scratch/tree" && go vet "./$(dirname "$2")" "$4") >"$scratch/log" 2>&1; then
    echo "mutant $1: DOES NOT BUILD"
    unclear=$((unclear + 1))
    return
  fi
  (cd "$scratch/tree" && timeout -k 5 120 go test -count=1 -timeout 100s "$4" "${@:5}") >"$scratch/log" 2>&1
  local code=$?
  if [ "$code" -ge 124 ] || grep -q "^panic: test timed out" "$scratch/log"; then
    echo "mutant $1: DID NOT END"
    unclear=$((unclear + 1))
  elif [ "$code" != 0 ]; then
    echo "mutant $1: refuted"
    refuted=$((refuted + 1))
  else
    echo "mutant $1: SURVIVED"
    survived=$((survived + 1))
  fi
}

mutant "1 every claim wins" internal/node/claims.go 's/return round.Decide\(\), round.Reason\(\), nil/return claim.Won, round.Reason(), nil/' ./test/prove -ginkgo.focus "duplicates sent to all routers"
mutant "1 unrepeatable requests are retried" internal/attempt/attempt.go 's/if !r.repeatable \{/if !r.repeatable \&\& r.limits.MaxAttempts < 0 {/' ./internal/attempt
mutant "1 an attempt without a proof counts as not run" internal/attempt/attempt.go 's/!p.Holds\(\)/false/' ./internal/attempt
mutant "1 a connection carries an ID twice" internal/httpconn/pool.go 's/if !c.hasCarried\(id\)/if true/' ./internal/httpconn
mutant "1 the horizon stays when the holders have lost their claims" internal/claim/handover.go 's/handover.Horizon = now/handover.Horizon = time.Time{}/' ./test/prove -ginkgo.focus "when all routers restart"
mutant "2 frames of other attempts and offsets are relayed" internal/attempt/attempt.go 's/attempt != r.attempts \|\| offset != r.offset \|\| //' ./test/prove -ginkgo.focus "passes on only the frames"
mutant "2 frames of other requests are relayed" internal/node/relay.go 's/string\(frame.Request\) != x.request.id/len(frame.Request) == 0/' ./test/prove -ginkgo.focus "passes on only the frames"
mutant "2 streams are not resumed or continued" internal/attempt/attempt.go 's/r.phase = Ready\n\treturn Dispatch/r.phase = Failed\n\treturn Stop/' ./test/prove -ginkgo.focus "continues elsewhere when the engine is killed"
mutant "3 the cache salt does not include the tenant" internal/prefix/prefix.go 's/s.Tenant, s.Model/"", s.Model/' ./test/prove -ginkgo.focus "never between tenants"
mutant "3 a crashed engine's cache index entries are kept" internal/cacheindex/index.go 's/delete\(s.holders, old\)/_ = old/g' ./internal/cacheindex
mutant "4 the machine list is ignored" internal/placement/placement.go 's/return !c.Leaving/return true/' ./test/prove -ginkgo.focus "machine the list shows as leaving"
mutant "4 a router stops without draining" internal/node/node.go 's/\tn.httpServer.Shutdown\(ctx\)\n//' ./test/prove -ginkgo.focus "longer than the grace time"
mutant "5 peers do not give configuration" internal/control/configuration.go 's/\|\| \w+ >= c.store.Revision\(\) \{/|| true {/' ./test/prove -ginkgo.focus "one restart, platform down: true"
mutant "5 every router reads from the platform" internal/node/watch.go 's/watchersPerZone = 2/watchersPerZone = 99/' ./test/prove -ginkgo.focus "few reads of the platform"
mutant "6 older states are applied" internal/config/store.go 's/delta.Through <= s.revision/delta.Through == s.revision/' ./internal/config
mutant "6 deletions before a list are taken as known" internal/config/store.go 's/\ts.compactedThrough = max\(s.compactedThrough, delta.Through\)\n//' ./internal/config
mutant "6 a lost response is an error" internal/platform/client.go 's/case sameSpec\(current.Spec, object.Spec\):/case current == nil:/' ./test/prove -ginkgo.focus "reading back"
mutant "7 an expired lease is still valid" internal/lease/lease.go 's/ \|\| !now.Before\(c.validUntil\)//' ./internal/lease
mutant "7 a lease is acquired without waiting" internal/lease/lease.go 's/now.Sub\(c.changedAt\) >= c.takeoverDelay/now.Sub(c.changedAt) >= 0/' ./internal/lease
mutant "7 all runners load at once" internal/rollout/rollout.go 's/loading >= limits.MaxLoading \|\| \(!unloaded && serving-1 < minServing\)/loading > 999 || minServing < 0/' ./test/prove -ginkgo.focus "within the pool"
mutant "8 contents are never quarantined" internal/gateway/suspects.go 's/return s.detector.EvaluateRequest\(now, content, parts\)/return quarantine.Verdict{}/' ./internal/gateway -run TestPoisonRequestIsQuarantined
mutant "8 every lost connection counts as a crash" internal/gateway/runnerends.go 's/liveness := d.probe\(runner\)/liveness := max(d.probe(runner), RunnerEnded)/' ./internal/gateway -run TestCrashIsDistinguishedFromLostConnection
mutant "8 quarantines are not stored" internal/gateway/storedquarantines.go 's/minStoredCrashes = 2/minStoredCrashes = 99/' ./internal/gateway -run 'TestQuarantineSurvivesLossOfAllRouters|TestStoredQuarantinesAreRead'
mutant "8 routers do not report crashes to each other" internal/gateway/broadcaster.go 's/schedulers.recordReceivers\(\), forSeeds/schedulers.recordReceivers()[:0], forSeeds/' ./internal/gateway -run TestQuarantineReachesAllRouters
mutant "8 runners that crash together quarantine contents" internal/quarantine/record.go 's/crash.SentAt.After\(crashes\[0\].DetectedAt\)/true/' ./internal/quarantine
mutant "18 prompt parts are never judged" internal/quarantine/verdict.go 's/\t\tsubjects = append\(subjects, NewPart\(content.Tenant, id\)\)\n/\t\t_ = id\n/' ./internal/gateway -run TestPartIsQuarantinedWhileTheStoreIsAway
mutant "18 answers that began before a crash clear a part" internal/quarantine/detector.go 's/SurvivedAt: run.startedAt\(\)/SurvivedAt: now/' ./internal/quarantine -run TestRunThatBegan
mutant "18 parts that were sound need no contrast" internal/quarantine/record.go 's/return !r.wasSound\(\) \|\| r.hasContrast\(\)/return true/' ./internal/quarantine -run TestKnownSoundPart
mutant "18 outdated crashes are not refuted" internal/quarantine/detector.go 's/e != nil && record.Subject.IsPart\(\) && e.refutes\(record\)/false \&\& e != nil/' ./internal/quarantine -run TestOutdatedCrashes
mutant "18 all routers begin trials at once" internal/quarantine/detector.go 's/if d.config.TrialKey == 0 \{/if true {/' ./internal/quarantine -run TestTrialsOfManyRouters
mutant "18 explained crashes refuse sound parts" internal/quarantine/verdict.go 's/d.hasOtherExplanation\(subject, subjects\) \|\| //' ./internal/quarantine -run TestRequestWithOneOfTwo
mutant "18 routers without seeds store parts late" internal/gateway/storedquarantines.go 's/\t\treturn 1\n/\t\treturn minStoredCrashes\n/' ./internal/gateway -run TestRoutersWithoutSeedsExchange
mutant "18 a busy router saves only its equal share of retries" internal/admission/retrybudget.go 's/b.capacity\+b.recent\)/b.capacity)/g' ./internal/admission -run TestRetryBudgetFollows
mutant "9 the clock stops during suspensions" internal/clock/clock.go 's/return monotonic.Add\(time.Duration\(c.suspended.Load\(\)\)\)/return monotonic/' ./internal/clock
mutant "10 a limited runner needs no permit" internal/backend/signals.go 's/\(!e.signalState.IsLimited\(\) \|\| permit.Valid\(now\)\)/true/' ./internal/backend -run 'SignalsAreRespected|PermitAllows'
mutant "10 new schedulers grant permits at once" internal/backpressure/permits.go 's/p.schedulers, p.pendingSchedulers, p.grantFrom = count, 0, now.Add\(shareChangeDelay\)/p.schedulers, p.pendingSchedulers = count, 0/' ./internal/backpressure
mutant "10 larger shares apply at once" internal/backpressure/permits.go 's/now.Add\(shareChangeDelay\)\n\t\}/now\n\t}/' ./internal/backpressure
mutant "10 any response lifts a rate limit" internal/backpressure/record.go 's/liftedAt.Before\(reportedAt.Add\(liftMargin\)\)/!liftedAt.After(reportedAt)/' ./internal/backpressure
mutant "10 only the directory tells which runners leave" internal/backend/signals.go 's/e.Draining \|\| e.signalState.IsLeaving\(\)/e.Draining/' ./internal/gateway -run 'Leaving'
mutant "10 runners in backoff get requests" internal/backend/signals.go 's/!e.signalState.InBackoff\(now\) && //' ./internal/backend -run 'SignalsAreRespected'
mutant "10 routers do not report runners' signals to each other" internal/gateway/broadcaster.go 's/schedulers.recordReceivers\(\), forSeeds/schedulers.recordReceivers()[:0], forSeeds/' ./internal/gateway -run TestSignalsReachAllRouters
mutant "11 revisions ignore the era" internal/storerev/storerev.go 's/\(era-FirstEra\)<<numberBits \| number/number/' ./internal/storerev
mutant "11 watches of another era are accepted" internal/gateway/follow.go 's/response.revision.Era\(\) > revision.Era\(\)/false/' ./internal/gateway -run ChangesWithReusedRevisions
mutant "11 a restored store overwrites newer states" internal/gateway/newera.go 's/kind != RunnerObjects \|\| newEra \{/false {/' ./internal/gateway -run CallersAreServedDuringStoreRestore
mutant "11 runners that a restored store lacks are dropped" internal/gateway/newera.go 's/missing := c.missingObjects\(kind, delta\)/missing := c.missingObjects(kind, delta)[:0]/' ./internal/gateway -run RunnersMissingFromBackupStayInUse
mutant "11 a lost lease is acquired at once" internal/lease/lease.go 's/now.Before\(c.priorEraLeaseExpiry\)/false/' ./internal/lease
mutant "11 lease writes count across eras" internal/lease/lease.go 's/if !sameEra \{/if false \&\& !sameEra {/' ./internal/lease
mutant "11 lost quarantines are not stored again" internal/gateway/storedquarantines.go 's/\t\tq.queueAll\(\)\n//' ./internal/gateway -run QuarantinesLostByStore
mutant "11 starting routers trust a restored store" internal/gateway/statetransfer.go 's/if era == storerev.FirstEra \{/if era >= storerev.FirstEra {/' ./internal/gateway -run RouterStartedInNewEraLearnsNewerState
mutant "11 routers transfer state that they have only from the store" internal/gateway/statetransfer.go 's/ \|\| answer.GetStoreOnly\(\)//; s/ \|\| answer.StoreOnly//' ./internal/gateway -run SeedsStartedTogetherInNewEra
mutant "11 newer states at listed revisions are ignored" internal/gateway/statetransfer.go 's/case found \&\& /case false \&\& found \&\& /' ./internal/gateway -run LearnsFromLateSeeds
mutant "11 runners that only other routers know stay unknown" internal/gateway/statetransfer.go 's/case !found \&\& /case false \&\& /' ./internal/gateway -run LearnsFromLateSeeds
mutant "11 a state transfer is requested only once" internal/gateway/statetransfer.go 's/transferTimeout = 10 \* time.Second/transferTimeout = time.Nanosecond/' ./internal/gateway -run LearnsFromLateSeeds
mutant "12 permits of the leader never run out" internal/versionrollout/exposure.go 's/PermitDuration = time.Second/PermitDuration = time.Hour/' ./internal/gateway -run 'SchedulerThatIsCutOffFromTheLeader'
mutant "12 versions without an order get requests" internal/rolloutdriver/driver.go 's/rules\[service\] = backend.VersionRule\{Only: base, WithoutOrder: true\}/_ = base/' ./internal/gateway -run NewVersionWithoutOrder
mutant "12 slow answers are good" internal/versionrollout/outcomes.go 's/ \|\| isSlow \{/ {/' ./internal/gateway -run SlowVersionIsRolledBack
mutant "12 a lost final state is not written again" internal/rolloutdriver/lead.go 's/return r.stored.Status == nil \|\| !r.stored/return !r.state.IsFinal() \&\& !r.stored/' ./internal/gateway -run FinalStateIsWrittenAgain
mutant "12 another leader's reservation is granted again" internal/rolloutdriver/driver.go 's/(\t\t\}\n)\t\tr.lead.controller = nil\n/$1/' ./internal/rolloutdriver -run 'ReservationOfAnotherLeader'
mutant "12 a restored store's reservation holds" internal/rolloutdriver/driver.go 's/r.reserved = max\(r.reserved, status.Reserved\)/r.reserved = status.Reserved/' ./internal/rolloutdriver -run 'ReservationOutlivesARestoredStore'
mutant "12 any holder of the lease leads rollouts" internal/rolloutdriver/lead.go 's/if !d.ports.Schedulers.IsPlacer\(\) \{\n\t\treturn wait/if false {\n\t\treturn wait/' ./internal/rolloutdriver -run 'HolderOfTheLeaseThatIsNoScheduler'
mutant "12 permits without an allowance are used" internal/rolloutdriver/report.go 's/if message.GetReportAfterMillis\(\) == 0 \{/if message == nil {/; s/Allowance: message.GetAllowance\(\)/Allowance: max(message.GetAllowance(), 1<<20)/' ./internal/rolloutdriver -run 'PermitOfAPreviousBuild'
mutant "12 the fallback needs no promotion" internal/rolloutdriver/placer.go 's/ \|\| r.stored.Status == nil \|\| !r.stored.Status.Promoted//' ./internal/rolloutdriver -run 'FallbackNeedsAPromotion'
mutant "12 the queue limit is asked twice" internal/gateway/order.go 's/chosen, _ = g.chooseRunner\(now, \*query, admissionRequest, &queueLimit\)/chosen, queueLimit = g.chooseRunner(now, *query, admissionRequest, nil)/' ./internal/gateway -run 'KeepsItsRetryReservation'
mutant "12 the lease is never left to a scheduler" internal/gateway/leader.go 's/return l.holdsLease \&\& now/return false \&\& now/' ./internal/gateway -run 'ThatIsNoSchedulerTakesNoStep'
mutant "12 the allowance of a placer is not kept" internal/versionrollout/exposure.go 's/ \|\| e.exposed >= e.permit.Allowance//' ./internal/versionrollout -run 'AllowanceIsKept'
mutant "12 only the whole rollout is judged" internal/versionrollout/evidence.go 's/\tfor _, w := range h.windows \{\n\t\tchecks/\tfor _, w := range h.windows[:0] {\n\t\tchecks/' ./internal/versionrollout -run 'TestVersionThatTurnsBadLate'
mutant "12 routes are not judged on their own" internal/versionrollout/evidence.go 's/(range slices.Sorted\(maps.Keys\(current.routes\)\)) \{\n\t\trecent :=/$1\[:0\] {\n\t\trecent :=/' ./internal/versionrollout -run 'BadOnARouteOfFewRequests'
mutant "13 any stronger router replaces a standby scheduler" internal/relay/standbys.go 's/replacementFactor\*r/1 + r/' ./internal/relay -run Standbys
mutant "13 the list of any seed replaces the current one" internal/peers/schedulerlist.go 's/fromSeed \&\& now.Sub\(l.confirmedAt\) >= listSourceTimeout/fromSeed/' ./internal/peers
mutant "13 standby schedulers place nothing" internal/gateway/standbyschedulers.go 's/if !s.gateway.distances.HasRegions\(\) \{\n\t\treturn s.isScheduler/if true {\n\t\treturn s.isScheduler/' ./internal/gateway -run TestRegionWithoutSeedHasStandbySchedulers
mutant "13 schedulers of other regions are asked" internal/gateway/schedulers.go 's/\tif s.gateway.distances.HasRegions\(\) \{\n\t\treturn s.regionOrder\(now\)\n\t\}\n//' ./internal/gateway -run TestRegionServesWhileBorderIsCut
mutant "13 all routers of a region without seeds read the store" internal/relay/selector.go 's/range s.standbys \{/range s.standbys[:0] {/' ./internal/relay
mutant "13 loads from before a cut count again" internal/backend/loads.go 's/ \|\| now.Sub\(known.reportedAt\) >= peerLoadTTL//' ./internal/backend -run PeerLoads\|ExpiredLoads
mutant "13 standby schedulers without the store get no proof" internal/gateway/standbyschedulers.go 's/if !r.selector.IsStandby\(\) \{/if true {/' ./internal/gateway -run TestStandbysGetProofFromRoutersOfTheirRegion
mutant "13 relays keep routers from the seed of their region" internal/gateway/standbyschedulers.go 's/known == "" \|\| known == region/known == "none"/' ./internal/gateway -run TestRoutersPullFromSeedOfTheirRegion
mutant "14 routers without a path forward nothing" internal/gateway/forward.go 's/return !e.waitsForRunners\(c\)/return false/' ./internal/gateway -run TestCallersOfPartitionedRoutersAreServed
mutant "14 lost links are evidence about runners" internal/gateway/send.go 's/if mayBlameLinks\(outcome, runOutcome\) && /if false \&\& mayBlameLinks(outcome, runOutcome) \&\& /' ./internal/gateway -run TestCutRouterLeavesNoEvidence
mutant "14 a leader without links keeps the lease" internal/gateway/leader.go 's/if outdated > 0 && l.cannotReachOutdated\(\)/if false \&\& l.cannotReachOutdated()/' ./internal/gateway -run TestPartitionedLeader
mutant "14 lost links look like crashes" internal/gateway/runnerends.go 's/liveness == RunnerEnded && !d.reachesAnother/false \&\& !d.reachesAnother/' ./internal/gateway -run TestLostLinksAreNoCrashes
mutant "14 one probe restores the links" internal/egress/paths.go 's/minConfirmations = 2/minConfirmations = 1/' ./internal/egress
mutant "14 reports of egress routers circulate" internal/egress/directory.go 's/reported.hops > maxHops/false/' ./internal/egress
mutant "14 forwarded calls use kept connections" internal/gateway/forward.go 's/FreshConnection: true, Header: http.Header\{"Connection": \{"close"\}\},//' ./internal/gateway -run TestForwardedCallsSurvive
mutant "14 brittle runners are filled without bound" internal/backend/brittle.go 's/if s.openRequests\(now, e\) < limit/if true/' ./internal/backend -run Room
mutant "14 silent schedulers are taken for idle" internal/backend/brittle.go 's/open \+= max\(requests, equalPart\)/open += 0/' ./internal/backend -run Room
mutant "14 a blocked runner hides those to be picked first" internal/placement/choose.go 's/if candidate.PickFirst \{/if candidate.PickFirst \&\& len(preferred) == 0 {/' ./internal/placement -run TestBlocked
mutant "15 an end inside an event is complete" internal/integrity/events.go 's/case s.Buffered\(\) > 0:/case false:/' ./internal/integrity
mutant "15 a closed stream without events is complete" internal/integrity/events.go 's/framing == ByClose && !s.hasEvents/false/' ./internal/integrity
mutant "15 broken answers to HTTP 1.0 are closed" internal/gateway/callerend.go 's/c.setLinger\(lingerReset\)/c.setLinger(lingerDefault)/' ./internal/gateway -run 'HTTP10'
mutant "15 long failures are forwarded in part" internal/gateway/answer.go 's/if end.IsComplete\(\) && !impliesNotRun/if !impliesNotRun/' ./internal/gateway -run TestLongFailure
mutant "16 continuations go to any version" internal/backend/versions.go 's/e.SoftwareVersion != query.BoundVersion/false/' ./internal/backend -run TestBoundRequest
mutant "16 nobody records where streams begin" internal/gateway/resumedstreams.go 's/\tc.recordStream\(\)\n//; s/receivers := (g.streams.receivers\(replicas, record.Key, scheduler, writer\))/receivers := $1\[:0\]/; s/c.streamRecord = encodeStreamRecord\(now, record\)/c.streamRecord = encodeStreamRecord(now, streamversion.Record{})/' ./internal/gateway -run TestStreamKeepsItsSoftwareVersionWhenItsRouter
mutant "16 one silent replica proves that there is no record" internal/streamversion/resolve.go 's/hasReadStore && answered >= replicas/hasReadStore/' ./internal/streamversion -run TestResolve
mutant "16 new streams take the last room of a version" internal/backend/versionroom.go 's/if !hasRoom \{/if hasRoom || !hasRoom {/' ./internal/backend -run TestNewStreams
mutant "16 streams are recorded while one version serves" internal/streamversion/history.go 's/return count > 1/return true/' ./internal/streamversion -run TestHistory
mutant "17 pages of a list are not used before the last one" internal/gateway/list.go 's/if w.kind == RunnerObjects && \(response.next/if false && (response.next/' ./internal/gateway -run TestRouterServesBefore
mutant "17 routers with a part of the directory give nothing" internal/gateway/firstanswers.go 's/\treturn partialData\n\t\}\n\treturn noData/\treturn noData\n\t}\n\treturn noData/' ./internal/gateway -run TestSeedServesOthers
mutant "17 first answers are not paced" internal/coldstart/pacer.go 's/return p.busyUntil.Sub\(now\) <= paceBurst/return true/' ./internal/coldstart -run TestTimeUntil
mutant "17 small services are missing from pages" internal/coldstart/pages.go 's/runnersPerService = 4/runnersPerService = 0/' ./internal/coldstart -run TestEachPage
mutant "17 unreachable sources are asked less and less" internal/coldstart/schedule.go 's/if s.has\(Unreachable\) \{/if false {/' ./internal/coldstart -run TestStartingSources
mutant "17 one failure ends the accept loop" internal/accept/accept.go 's/err == nil \|\| errors.Is/true || err == nil || errors.Is/' ./internal/wire -run TestTransportAccepts
mutant "19 what a started router sees listed is the origin of all streams" internal/streamversion/history.go 's/if !h.CoversWindow\(now\) \{\n\t\treturn true/if false {\n\t\treturn true/' ./internal/streamversion -run TestOnlyVersionIsKnown
mutant "19 the roster is not written" internal/gateway/versionroster.go 's/if !o.isOutdated\(\)/if true/' ./internal/gateway -run TestStreamsOfTheOnlyVersionGoOn
mutant "19 records are not written to the store" internal/gateway/streamjournal.go 's/\to.journal.Add\(now, record\)\n//' ./internal/gateway -run TestStreamsGoOnAfterLossOfAllRouters
mutant "19 a version that was listed alone is evidence without the store" internal/streamversion/resolve.go 's/if answer.HasReadStore \{/if answer.HasReadStore || answer.Only != "" {/' ./internal/streamversion -run "TestResolve|TestOriginsHaveEvidence"
mutant "19 streams are recorded with their first event" internal/gateway/send.go 's/\tc.recordSentStream\(\)\n//' ./internal/gateway -run TestStreamsThatHaveJustBegun
mutant "19 records on silent connections are lost" internal/gateway/streamrecords.go 's/if delivery.receiver == replica && /if false \&\& /' ./internal/gateway -run TestRecordsOnSilentConnections
mutant "19 the roster of a restored store is complete" platform/streamorigins.go 's/if spec.Era == era/if true/' ./internal/gateway -run TestStreamsDoNotMixAfterRestore
mutant "19 parts of replaced weights are copied" internal/backend/sharedweights.go 's/ && w.replacedBy == 0//' ./internal/gateway -run TestPartsOfReplacedWeights
mutant "19 a part that was stored late is fetched under replaced weights" internal/backend/sharedweights.go 's/!known \|\| naming >= weights.replacedBy/!known || naming == 0/' ./internal/backend -run TestPartsStoredBefore
mutant "19 streams that wait for their next event are not recorded" internal/gateway/gateway.go 's/\tg.spawn\(g.streams.recordMixedLoop\)\n//' ./internal/gateway -run TestSilentStreams
mutant "19 routers of a new system have listed all versions" internal/gateway/streamrecords.go 's/ \|\| now.Sub\(s.startedAt\) < firstStartTime//' ./internal/gateway -count=8 -run TestStreamsOfARouterThatMissed
mutant "20 schedulers forget where the streams began that they placed" internal/gateway/unrecordedstreams.go 's/s.placed.Take\(now, isMixed\)/[]streamversion.Record(nil)/' ./internal/gateway -run TestStreamsOfARouterLostBefore
mutant "20 a finished read does not count while another one runs" internal/gateway/storedorigins.go 's/isRead \|\| o.running == nil && !o.startedAt/o.running == nil \&\& !o.startedAt/' ./internal/gateway -count=3 -run TestStreamsOfOneVersionGoOnWithASlowStore
mutant "20 records that are not acknowledged are left to their writer" internal/gateway/streamrecords.go 's/\trecords := s.takeOver\(deliveries\)/\tvar records []streamversion.Record/' ./internal/gateway -run TestStreamsGoOnAtRouterCutOffTheOthers
mutant "20 a writer that the store refuses acknowledges records" internal/gateway/streamrecords.go 's/isWriter && !s.stored.canWrite\(\)/false/' ./internal/gateway -run TestStreamsGoOnAfterLossOfASeedThatTheStoreRefuses
mutant "20 the store is read once" internal/gateway/streamlookup.go 's/at := recordsFrom.Add\(recordStoreTime\); !lookup/at := recordsFrom.Add(recordStoreTime); false \&\& !lookup/' ./internal/gateway -run TestStreamsTakenUpAtOnce
mutant "19 the directory is evidence whatever its age" internal/gateway/streamversions.go 's/proven = !s.gateway.copies.provenAt\(RunnerObjects\).Before\(at\) && /proven = /' ./internal/gateway -run TestStreamsDoNotMixWithAnOldDirectory
mutant "19 three crashed runners hide a crash" internal/gateway/runnerends.go 's/maxControlProbes = 12/maxControlProbes = 3/' ./internal/gateway -run TestCrashesAreDetected

echo "mutants: $refuted refuted, $survived survived, $unclear unclear"
[ "$survived$unclear" = 00 ]

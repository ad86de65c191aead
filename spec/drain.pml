/*
 * Planned shutdown of an engine while two routers dispatch requests to it. A
 * dispatch may be in flight for any time. The engine refuses requests once it
 * drains, notifies the routers (in the code through its home, the node that reads
 * its event stream), and ends when all its streams have ended.
 *
 * Invariants: a draining engine accepts no request; no accepted stream is cut;
 * every request either completes, or is refused and sent to another engine; a
 * router that was notified of the drain sends no further requests.
 *
 * Mutants: NO_WAIT (the engine ends while streams are open), LATE_ACCEPT (a
 * draining engine still accepts requests), DEAF (a router ignores the
 * notification).
 */
#define ROUTERS 2
#define REQUESTS 2

chan network = [4] of { byte };     /* dispatches in flight, each with its router */
byte openStreams = 0;               /* open streams on the engine */
bool draining = false;
bool ended = false;
bool informed[ROUTERS];
byte completed = 0;
byte rerouted = 0;
bool sentAfterNotice = false;

proctype router(byte self) {
  byte sent;
  do
  :: sent < REQUESTS ->
     atomic {
       sent++;
#ifdef DEAF
       if
       :: true ->
#else
       if
       :: informed[self] -> rerouted++
       :: !informed[self] ->
#endif
          if
          :: informed[self] -> sentAfterNotice = true
          :: else
          fi;
          network ! self
       fi
     }
  :: sent == REQUESTS -> break
  od
}

proctype engine() {
  byte sender;
  do
  :: atomic { network ? sender ->
       if
#ifdef LATE_ACCEPT
       :: !ended -> openStreams++; assert(!draining)
       :: ended -> rerouted++
#else
       :: !draining -> openStreams++; assert(!draining)
       :: draining -> rerouted++      /* refused: did not run, so another engine may run it */
#endif
       fi }
  :: atomic { openStreams > 0 && !ended -> openStreams--; completed++ }
  :: atomic { !draining -> draining = true }
  :: draining && !informed[0] -> informed[0] = true
  :: draining && !informed[1] -> informed[1] = true
#ifdef NO_WAIT
  :: atomic { draining && !ended -> ended = true; assert(openStreams == 0) }
#else
  :: atomic { draining && !ended && openStreams == 0 -> ended = true }
#endif
  :: atomic { ended && openStreams == 0 && completed + rerouted == ROUTERS * REQUESTS -> break }
  od
}

/* Every request has its outcome in every end state, since spin reports any other
   end state as invalid. */
proctype monitor() {
end:
  do
  :: atomic { ended -> assert(openStreams == 0); assert(!sentAfterNotice) ; break }
  od
}

init { atomic { run router(0); run router(1); run engine(); run monitor() } }

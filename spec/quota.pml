/*
 * A tenant's limit in two shares, each of which belongs to one quota server
 * permanently. Each request of the two routers is for AMOUNT units. One of the
 * routers may be partitioned from the first server, which still serves the other
 * router. A server may be killed; it restarts with INITIAL units in its bucket, its
 * part of the limit's tolerance, and forgets its debt. Each share accrues one unit per
 * tick, up to BURST units.
 *
 * Invariant: the total granted is at most what all shares have accrued since the
 * start, plus one request per server, because a bucket may go into debt, and one
 * request and the initial units per restart.
 *
 * Mutants: RESTART_FULL (a bucket is full after a restart), TAKE_OVER (the second
 * server also grants from the share of the first one while a router cannot reach
 * the first one), NO_DEBT (a grant does not reduce the level of the bucket).
 */
#define END_TIME 4
#define BURST 3
#define AMOUNT 2
#define INITIAL 1
#define SERVERS 2

byte now = 0;
short level[SERVERS] = 0;
byte granted = 0;
byte restarts = 0;
bool partitioned = false;

#define maxGranted (SERVERS * (now + AMOUNT) + restarts * (AMOUNT + INITIAL))

inline check() { assert(granted <= maxGranted) }

active proctype clock() {
  byte server;
  do
  :: now < END_TIME -> atomic {
       now++;
       server = 0;
       do
       :: server < SERVERS ->
#ifdef TAKE_OVER
          level[server] = level[server] + ((server == 1 && partitioned) -> 2 : 1);
#else
          level[server] = level[server] + 1;
#endif
          level[server] = (level[server] > BURST -> BURST : level[server]);
          server++
       :: else -> break
       od;
       server = 0
     }
  :: now == END_TIME -> break
  od
}

active proctype network() {
  if
  :: partitioned = true
  :: true
  fi
}

active proctype faults() {
  byte server;
  do
  :: atomic { restarts < 2 -> if :: server = 0 :: server = 1 fi;
       restarts++;
#ifdef RESTART_FULL
       level[server] = BURST;
#else
       level[server] = INITIAL;
#endif
       server = 0 }
  :: break
  od
}

proctype router(bool canBePartitioned) {
  byte server;
  do
  :: atomic { now < END_TIME ->
       if :: server = 0 :: server = 1 fi;
       if
       :: server == 0 && partitioned && canBePartitioned   /* no reply */
       :: else ->
          if
          :: level[server] >= 0 ->
             granted = granted + AMOUNT;
#ifndef NO_DEBT
             level[server] = level[server] - AMOUNT;
#endif
             check()
          :: else                              /* refused */
          fi
       fi;
       server = 0 }
  :: now == END_TIME -> break
  od
}

init { run router(true); run router(false) }

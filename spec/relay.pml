/*
 * Proofs over relays. A seed asks the store; two routers of one zone each ask the
 * seed or the other one, whatever they were referred to last, so they may also
 * follow each other for a while, as when the seed is lost. What is given on carries
 * the version of the configuration and the age of its proof; answers take any time.
 * The store's first configuration has a key, the second one has not. That calls to
 * the store take time too is in proof.pml.
 *
 * Invariants: no router serves the key later than LEASE after it was taken away,
 * and no router goes back from the second configuration to the first.
 *
 * Mutants: HEARSAY (a relay gives what it was told as proved now), FROM_ARRIVAL (an
 * age is counted back from the answer's arrival), ANY_VERSION (an older
 * configuration is taken over a newer one).
 */
#define LEASE 1
#define END 3

#define SEED 0

byte now = 0;
byte stored = 1;          /* the version in the store */
byte takenAt = 0;         /* when the second one was acknowledged */

byte version[3] = 0;      /* 0: none */
byte proof[3] = 0;

#define serves(r) (version[r] == 1 && now - proof[r] < LEASE)

/* What must hold after every step. */
inline check() {
  assert(stored == 1 || now - takenAt <= LEASE || (!serves(0) && !serves(1) && !serves(2)))
}

active proctype clock() {
  do
  :: now < END -> atomic { now++; check() }
  :: now == END -> break
  od
}

active proctype operator() {
  atomic { stored = 2; takenAt = now }
}

active proctype seed() {
  do
  :: atomic { now < END && (version[SEED] != stored || proof[SEED] != now) ->
       version[SEED] = stored; proof[SEED] = now }
  :: now == END -> break
  od
}

proctype router(byte me; byte other) {
  byte sent = 0, given = 0, at = 0, asked = 0;
  do
  :: atomic { now < END -> sent = now; if :: asked = SEED :: asked = other fi };
     atomic {                             /* the other one answers, with the age */
       given = version[asked];
       at = now - proof[asked];
#ifdef HEARSAY
       at = (asked == SEED -> at : 0);
#endif
#ifndef FROM_ARRIVAL
       at = (sent > at -> sent - at : 0);
#endif
       sent = 0; asked = 0
     };
     atomic {                             /* the answer arrives */
#ifdef FROM_ARRIVAL
       at = now - at;
#endif
       if
#ifdef ANY_VERSION
       :: given > 0 -> assert(given >= version[me]); version[me] = given; proof[me] = at
       :: given == 0
#else
       :: given > 0 && given >= version[me] ->
          version[me] = given;
          proof[me] = (at > proof[me] -> at : proof[me])
       :: else
#endif
       fi;
       check();
       given = 0; at = 0
     }
  :: now == END -> break
  od
}

init { atomic { run router(1, 2); run router(2, 1) } }

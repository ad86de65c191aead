/*
 * Proofs that are passed on by relays. A seed reads the store. Two routers of one
 * zone each pull from the seed or from each other, whatever their last referral
 * was. They may thus pull from each other for a while, for example when the seed
 * is lost. An answer carries the version of the configuration and the age of its
 * proof, and may take any time. The first configuration in the store has a key
 * that the second one lacks. Calls to the store take no time here; proof.pml
 * models that they do.
 *
 * Invariants: no router serves the key more than LEASE after its deletion, and no
 * router goes back from the second configuration to the first.
 *
 * Mutants: HEARSAY (a relay passes on the state of another router as proven now),
 * FROM_ARRIVAL (an age is subtracted from the time at which the answer arrived),
 * ANY_VERSION (an older configuration replaces a newer one).
 */
#define LEASE 1
#define END_TIME 3

#define SEED 0

byte now = 0;
byte storeVersion = 1;      /* version of the configuration in the store */
byte deletedAt = 0;         /* when the write of version 2, without the key, was acknowledged */

/* State of the seed and of the routers 1 and 2. */
byte version[3] = 0;        /* version of the copy, 0 if there is none */
byte provenAt[3] = 0;

#define servesKey(r) (version[r] == 1 && now - provenAt[r] < LEASE)

/* The first invariant, checked after every step. */
inline check() {
  assert(storeVersion == 1 || now - deletedAt <= LEASE || (!servesKey(0) && !servesKey(1) && !servesKey(2)))
}

active proctype clock() {
  do
  :: now < END_TIME -> atomic { now++; check() }
  :: now == END_TIME -> break
  od
}

active proctype operator() {
  atomic { storeVersion = 2; deletedAt = now }
}

active proctype seed() {
  do
  :: atomic { now < END_TIME && (version[SEED] != storeVersion || provenAt[SEED] != now) ->
       version[SEED] = storeVersion; provenAt[SEED] = now }
  :: now == END_TIME -> break
  od
}

proctype router(byte self; byte peer) {
  /* answerProof is first the age of the proof in the answer, then its time. */
  byte sentAt = 0, answerVersion = 0, answerProof = 0, source = 0;
  do
  :: atomic { now < END_TIME -> sentAt = now; if :: source = SEED :: source = peer fi };
     atomic {                             /* the source answers with the age of its proof */
       answerVersion = version[source];
       answerProof = now - provenAt[source];
#ifdef HEARSAY
       answerProof = (source == SEED -> answerProof : 0);
#endif
#ifndef FROM_ARRIVAL
       answerProof = (sentAt > answerProof -> sentAt - answerProof : 0);
#endif
       sentAt = 0; source = 0
     };
     atomic {                             /* the answer arrives */
#ifdef FROM_ARRIVAL
       answerProof = now - answerProof;
#endif
       if
#ifdef ANY_VERSION
       :: answerVersion > 0 -> assert(answerVersion >= version[self]); version[self] = answerVersion; provenAt[self] = answerProof
       :: answerVersion == 0
#else
       :: answerVersion > 0 && answerVersion >= version[self] ->
          version[self] = answerVersion;
          provenAt[self] = (answerProof > provenAt[self] -> answerProof : provenAt[self])
       :: else
#endif
       fi;
       check();
       answerVersion = 0; answerProof = 0
     }
  :: now == END_TIME -> break
  od
}

init { atomic { run router(1, 2); run router(2, 1) } }

/*
 * The proof that a configuration is in effect, used as a lease. The store holds a
 * key until the key is deleted. A seed reads the store. A follower pulls from the
 * seed, which answers with its state and the age of its proof. Calls and answers
 * may take any time. A router serves the key while its copy has the key and its
 * proof is younger than LEASE.
 *
 * Invariant: no router serves a key more than LEASE after its deletion from the
 * store.
 *
 * Mutants: AT_ANSWER (a proof counts from the time at which the response of the
 * store arrived), NO_AGE (a follower counts a proof from the time of its own pull
 * and ignores the age), FROM_ARRIVAL (a follower subtracts the age from the time
 * at which the answer arrived).
 */
#define LEASE 2
#define END_TIME 6

byte now = 0;
bool keyDeleted = false;
byte deletedAt = 0;        /* when the deletion was acknowledged */

bool seedHasKey = false, followerHasKey = false;
byte seedProvenAt = 0, followerProvenAt = 0;
bool seedProven = false, followerProven = false;

active proctype clock() {
  do
  :: now < END_TIME -> now++
  :: now == END_TIME -> break
  od
}

active proctype operator() {
  atomic { keyDeleted = true; deletedAt = now }
}

/* The seed calls the store repeatedly, with one call at a time. */
active proctype seed() {
  byte sentAt; bool hasKey;
  do
  :: now < END_TIME ->
     sentAt = now;
     hasKey = !keyDeleted;                /* the store responds */
     atomic {                             /* the response arrives */
       seedHasKey = hasKey;
       seedProven = true;
#ifdef AT_ANSWER
       seedProvenAt = now
#else
       seedProvenAt = sentAt
#endif
     }
  :: now == END_TIME -> break
  od
}

active proctype follower() {
  byte sentAt, age; bool hasKey, proven;
  do
  :: now < END_TIME ->
     sentAt = now;
     atomic { proven = seedProven; hasKey = seedHasKey; age = now - seedProvenAt };
     if
     :: proven ->
        atomic {
          followerHasKey = hasKey;
          followerProven = true;
#ifdef NO_AGE
          followerProvenAt = sentAt
#else
#ifdef FROM_ARRIVAL
          followerProvenAt = now - age
#else
          followerProvenAt = (sentAt > age -> sentAt - age : 0)
#endif
#endif
        }
     :: !proven
     fi
  :: now == END_TIME -> break
  od
}

/* Requests with the key arrive at any time. */
active proctype callers() {
  do
  :: now < END_TIME ->
     atomic {
       assert(!(seedProven && seedHasKey && now - seedProvenAt < LEASE) || !keyDeleted || now - deletedAt <= LEASE);
       assert(!(followerProven && followerHasKey && now - followerProvenAt < LEASE) || !keyDeleted || now - deletedAt <= LEASE)
     }
  :: now == END_TIME -> break
  od
}

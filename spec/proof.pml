/*
 * The proof that a configuration is in force, as a lease. The store holds a key
 * until it is taken away. A seed asks the store; a follower asks the seed, which
 * gives what it knows with the age of its proof. Calls and answers take any time;
 * a router serves the key while it knows it and its proof is younger than LEASE.
 *
 * Invariant: no router serves a key later than LEASE after the store took it away.
 *
 * Mutants: AT_ANSWER (a proof counts from the arrival of the store's answer),
 * NO_AGE (a follower counts a proof from its own question, whatever its age),
 * FROM_ARRIVAL (a follower counts the age back from the answer's arrival).
 */
#define LEASE 2
#define END 6

byte now = 0;
bool taken = false;      /* the key was taken away ... */
byte takenAt = 0;        /* ... and acknowledged then */

bool seedKnows = false, followerKnows = false;
byte seedProof = 0, followerProof = 0;
bool seedProven = false, followerProven = false;

active proctype clock() {
  do
  :: now < END -> now++
  :: now == END -> break
  od
}

active proctype operator() {
  atomic { taken = true; takenAt = now }
}

/* One call to the store at a time, again and again. */
active proctype seed() {
  byte sent; bool valid;
  do
  :: now < END ->
     sent = now;
     valid = !taken;                      /* the store answers */
     atomic {                             /* the answer arrives */
       seedKnows = valid;
       seedProven = true;
#ifdef AT_ANSWER
       seedProof = now
#else
       seedProof = sent
#endif
     }
  :: now == END -> break
  od
}

active proctype follower() {
  byte sent, age; bool valid, given;
  do
  :: now < END ->
     sent = now;
     atomic { given = seedProven; valid = seedKnows; age = now - seedProof };
     if
     :: given ->
        atomic {
          followerKnows = valid;
          followerProven = true;
#ifdef NO_AGE
          followerProof = sent
#else
#ifdef FROM_ARRIVAL
          followerProof = now - age
#else
          followerProof = (sent > age -> sent - age : 0)
#endif
#endif
        }
     :: !given
     fi
  :: now == END -> break
  od
}

/* Callers come at any time. */
active proctype callers() {
  do
  :: now < END ->
     atomic {
       assert(!(seedProven && seedKnows && now - seedProof < LEASE) || !taken || now - takenAt <= LEASE);
       assert(!(followerProven && followerKnows && now - followerProof < LEASE) || !taken || now - takenAt <= LEASE)
     }
  :: now == END -> break
  od
}

/*
 * A lease with a fencing token in a store that is restored from a backup. All
 * writes since the backup are lost, and their numbers are assigned again in the
 * next era. Two candidates read the lease, and write it if it still has the number
 * that they read. Any time may pass between the read and the write. A holder
 * considers its term valid for DURATION, counted from before the write was sent,
 * and may be paused before it sends an order.
 *
 * Invariants: at most one candidate has a valid term, and the engine refuses no
 * order of a candidate with a valid term.
 *
 * Mutants: NO_ERA (the token is the number without the era), NO_WAIT (a lease that
 * is missing from the backup is acquired at once), ANY_ERA (a write starts a term
 * although it was applied in another era than that of the read before it).
 */
#define DURATION 2
#define END_TIME 4
#define MAX_RESTORES 1
#define NUMBERS_PER_ERA 4

byte now = 0;
byte era = 0, lastNumber = 0;             /* era of the store, last number assigned in it */
byte leaseNumber = 0, leaseHolder = 0;    /* the lease object; holder 0 means none */
byte backupLastNumber = 0, backupLeaseNumber = 0, backupLeaseHolder = 0;
byte validUntil[3], token[3];
byte highestToken = 0;                    /* highest token that the engine has seen */

#define hasValidTerm(c) (token[c] > 0 && now < validUntil[c])

#ifdef NO_ERA
#define tokenOf(e, n) (n)
#else
#define tokenOf(e, n) ((e) * NUMBERS_PER_ERA + (n))
#endif

inline check() {
  assert(!hasValidTerm(1) || !hasValidTerm(2));
  assert((!hasValidTerm(1) || token[1] >= highestToken) && (!hasValidTerm(2) || token[2] >= highestToken))
}

active proctype clock() {
  do
  :: now < END_TIME -> atomic { now++; check() }
  :: now == END_TIME -> break
  od
}

active proctype backup() {
  do
  :: atomic { now < END_TIME && backupLastNumber != lastNumber -> backupLastNumber = lastNumber; backupLeaseNumber = leaseNumber; backupLeaseHolder = leaseHolder }
  :: now == END_TIME -> break
  od
}

active proctype restore() {
  do
  :: atomic { now < END_TIME && era < MAX_RESTORES ->
       era++; lastNumber = backupLastNumber; leaseNumber = backupLeaseNumber; leaseHolder = backupLeaseHolder }
  :: now == END_TIME -> break
  od
}

proctype candidate(byte self) {
  byte observedEra = 0, observedNumber = 0, observedHolder = 0;
  byte changedAt = 0, knownEra = 0, priorEraLeaseExpiry = 0, sentAt = 0;
  do
  :: atomic { now < END_TIME && (era != observedEra || leaseNumber != observedNumber) ->   /* read */
       if
       :: era > knownEra -> knownEra = era;
#ifndef NO_WAIT
          priorEraLeaseExpiry = now + DURATION
#endif
       :: else
       fi;
       observedEra = era; observedNumber = leaseNumber; observedHolder = leaseHolder; changedAt = now }
  :: atomic { now < END_TIME && lastNumber < NUMBERS_PER_ERA - 1 &&                  /* decide */
       (hasValidTerm(self) || (now >= priorEraLeaseExpiry && (observedHolder == 0 || observedHolder == self || now - changedAt >= DURATION))) ->
       sentAt = now }
     atomic {                                                                  /* write */
       if
       :: leaseNumber == observedNumber ->
          lastNumber++; leaseNumber = lastNumber; leaseHolder = self;
          if
#ifndef ANY_ERA
          :: era != observedEra ->
             changedAt = now;
             if
             :: era > knownEra -> knownEra = era; priorEraLeaseExpiry = now + DURATION
             :: else
             fi
          :: else ->
#else
          :: true ->
#endif
             validUntil[self] = sentAt + DURATION; token[self] = tokenOf(era, leaseNumber); changedAt = sentAt
          fi;
          observedEra = era; observedNumber = leaseNumber; observedHolder = self;
          check()
       :: else
       fi;
       sentAt = 0
     }
  :: atomic { token[self] >= highestToken && hasValidTerm(self) && token[self] != highestToken -> highestToken = token[self]; check() }
  :: now == END_TIME -> break
  od
}

init { atomic { run candidate(1); run candidate(2) } }

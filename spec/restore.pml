/*
 * A lease with a fencing token on a store that comes back from a copy: what was
 * written since is lost, and its numbers are given out again in the next era. Two
 * candidates read the lease, and write it if it still has the number that they
 * read; any time may pass between both. A holder believes in its lease for
 * DURATION from before the write, and may be paused before it gives an order.
 *
 * Invariants: at most one candidate believes in a lease, and the engine refuses no
 * order of one that does.
 *
 * Mutants: NO_ERA (the token is the number alone), NO_WAIT (a lease that the copy
 * does not know is taken at once), ANY_ERA (a write counts though it meets another
 * era than the read before it).
 */
#define DURATION 2
#define END 4
#define RETURNS 1
#define NUMBERS 4

byte now = 0;
byte era = 0, counter = 0;              /* of the store */
byte number = 0, holder = 0;            /* of the lease; holder 0: none */
byte copiedCounter = 0, copiedNumber = 0, copiedHolder = 0;
byte until[3], token[3];
byte fence = 0;                         /* the engine's highest token */

#define believes(c) (token[c] > 0 && now < until[c])

#ifdef NO_ERA
#define tokenOf(e, n) (n)
#else
#define tokenOf(e, n) ((e) * NUMBERS + (n))
#endif

inline check() {
  assert(!believes(1) || !believes(2));
  assert((!believes(1) || token[1] >= fence) && (!believes(2) || token[2] >= fence))
}

active proctype clock() {
  do
  :: now < END -> atomic { now++; check() }
  :: now == END -> break
  od
}

active proctype copier() {
  do
  :: atomic { now < END && copiedCounter != counter -> copiedCounter = counter; copiedNumber = number; copiedHolder = holder }
  :: now == END -> break
  od
}

active proctype returns() {
  do
  :: atomic { now < END && era < RETURNS ->
       era++; counter = copiedCounter; number = copiedNumber; holder = copiedHolder }
  :: now == END -> break
  od
}

proctype candidate(byte me) {
  byte seenEra = 0, seenNumber = 0, seenHolder = 0;
  byte changedAt = 0, knownEra = 0, lostUntil = 0, sent = 0;
  do
  :: atomic { now < END && (era != seenEra || number != seenNumber) ->      /* read */
       if
       :: era > knownEra -> knownEra = era;
#ifndef NO_WAIT
          lostUntil = now + DURATION
#endif
       :: else
       fi;
       seenEra = era; seenNumber = number; seenHolder = holder; changedAt = now }
  :: atomic { now < END && counter < NUMBERS - 1 &&                          /* decide */
       (believes(me) || (now >= lostUntil && (seenHolder == 0 || seenHolder == me || now - changedAt >= DURATION))) ->
       sent = now }
     atomic {                                                                /* write */
       if
       :: number == seenNumber ->
          counter++; number = counter; holder = me;
          if
#ifndef ANY_ERA
          :: era != seenEra ->
             changedAt = now;
             if
             :: era > knownEra -> knownEra = era; lostUntil = now + DURATION
             :: else
             fi
          :: else ->
#else
          :: true ->
#endif
             until[me] = sent + DURATION; token[me] = tokenOf(era, number); changedAt = sent
          fi;
          seenEra = era; seenNumber = number; seenHolder = me;
          check()
       :: else
       fi;
       sent = 0
     }
  :: atomic { token[me] >= fence && believes(me) && token[me] != fence -> fence = token[me]; check() }
  :: now == END -> break
  od
}

init { atomic { run candidate(1); run candidate(2) } }

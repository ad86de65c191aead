/*
 * The account of exposure of a rollout. Two placers get at most one request each per
 * tick. They report to a leader, which answers with a permit: an allowance, the total
 * number of requests that the placer may send to the target version. A permit ends
 * PERMIT_LIFETIME ticks after its report was sent. The leader grants no allowances
 * beyond the number that it has reserved in the store, and reserves no more than the
 * budget. What a placer had used before a leader's first grant to it is covered by the
 * reservations of earlier leaders. An allowance counts as spent until a report that was
 * sent after the end of its permit tells how much of it was used. Testing and promotion
 * differ only in the size of the allowances, and a larger one is granted in several
 * steps. After `succeeded` the target version gets all requests.
 *
 * A second leader takes over at any moment, and the first one may continue, since it
 * may not know. A report or permit is delivered at once, late, or never, and a late
 * one may arrive after newer ones. One placer may restart once.
 *
 * Invariant: the target version never gets more than its share of the requests so far
 * plus the slack.
 *
 * Mutants: NO_RESERVE (allowances are granted up to the budget without a reservation),
 * FRESH_LEADER (a takeover starts with nothing spent), BLIND_WRITE (a reservation is
 * written even if another leader has written since), NO_EXPIRY (a permit never ends),
 * EARLY_RELEASE (an allowance no longer counts once its permit has ended, although no
 * later report has told what was used), NO_REMAINDER (`succeeded` is written without
 * counting the requests that are still to come), FORGETS_RESTART (what was granted to
 * a placer before its restart no longer counts).
 */
#define DEADLINE 4
#define PERMIT_LIFETIME 2
#define REQUESTS_PER_EXPOSED 3
#define SLACK 1
#define PLACERS 2

#define bound(requests) ((requests) / REQUESTS_PER_EXPOSED + SLACK)
#define max(a, b) ((a) > (b) -> (a) : (b))
#define at(leader, placer) (PLACERS * (leader) + (placer))

byte now = 0;
byte totalRequests = 0, totalExposed = 0;

/* The store. */
byte reserved = 0;
bool succeeded = false;
bool secondHasWritten = false;    /* writes of the first leader now fail */
bool firstHasWritten = false;     /* since the second leader has read */

/* State of each placer. */
byte exposed[PLACERS];            /* since its start */
byte allowance[PLACERS], validUntil[PLACERS];
bool restarted = false;

/* A late report and a late permit. Only placer 0 has late messages, and only placer 1
   restarts, which keeps the model small. */
bool reportIsLate;
byte lateExposed, lateSentAt;
bool permitIsLate;
byte lateAllowance, lateValidUntil;

/* State of each leader. */
bool secondLeads = false;
byte ownReserved[2];              /* the reservation that the leader knows */
byte earlierSpent[2];             /* reserved by earlier leaders, granted before a restart */

/* What each leader knows of each placer. */
byte seenExposed[4];              /* the largest exposure in a report */
byte granted[4];                  /* the largest allowance that may still be used */
byte grantedAt[4];
bool hasGranted[4];
byte exposedBefore[4];            /* in the last report before the first grant */

#ifdef EARLY_RELEASE
#define mayBeUsed(pair) (now < grantedAt[pair] + PERMIT_LIFETIME)
#else
#define mayBeUsed(pair) true
#endif
#define total(pair) max(seenExposed[pair], (mayBeUsed(pair) -> granted[pair] : 0))
#define spentBy(pair) (total(pair) - exposedBefore[pair])
#define spent(leader) (earlierSpent[leader] + spentBy(at(leader, 0)) + spentBy(at(leader, 1)))
/* Reports never add up to more than all requests so far. */
#define budget bound(totalRequests)
#define stillToCome (PLACERS * (DEADLINE - now))

#ifdef NO_RESERVE
#define grantable(leader) budget
#else
#define grantable(leader) ownReserved[leader]
#endif

byte candidate;

inline receivePermit(placer, newAllowance, until) {
  allowance[placer] = newAllowance;
  validUntil[placer] = until
}

/* Grants one further request, or renews the permit. */
inline answer(leader, placer, sentAt) {
  if
  :: hasGranted[at(leader, placer)] -> candidate = total(at(leader, placer))
  :: candidate = total(at(leader, placer)) + 1
  fi;
  if
  :: spent(leader) - total(at(leader, placer)) + candidate <= grantable(leader) ->
     granted[at(leader, placer)] = candidate;
     grantedAt[at(leader, placer)] = now;
     hasGranted[at(leader, placer)] = true;
     if
     :: receivePermit(placer, candidate, sentAt + PERMIT_LIFETIME)
     :: placer == 0 ->
        permitIsLate = true;
        lateAllowance = candidate;
        lateValidUntil = sentAt + PERMIT_LIFETIME
     fi
  :: else
  fi;
  candidate = 0
}

inline receiveReport(leader, placer, reportExposed, sentAt) {
  seenExposed[at(leader, placer)] = max(seenExposed[at(leader, placer)], reportExposed);
  exposedBefore[at(leader, placer)] = (hasGranted[at(leader, placer)] -> exposedBefore[at(leader, placer)] : seenExposed[at(leader, placer)]);
  if
  :: sentAt >= grantedAt[at(leader, placer)] + PERMIT_LIFETIME ->
     granted[at(leader, placer)] = 0;
     grantedAt[at(leader, placer)] = 0
  :: else
  fi;
  answer(leader, placer, sentAt)
}

inline report(leader, placer) {
  if
  :: receiveReport(leader, placer, exposed[placer], now)
  :: placer == 0 ->
     reportIsLate = true;
     lateExposed = exposed[placer];
     lateSentAt = now
  fi
}

inline receiveLateReport(leader) {
  receiveReport(leader, 0, lateExposed, lateSentAt);
  reportIsLate = false;
  lateExposed = 0;
  lateSentAt = 0
}

inline receiveLatePermit() {
  receivePermit(0, lateAllowance, lateValidUntil);
  permitIsLate = false;
  lateAllowance = 0;
  lateValidUntil = 0
}

#ifdef NO_EXPIRY
#define isValid(placer) true
#else
#define isValid(placer) (now < validUntil[placer])
#endif

/* Places one request, at the target version where the permit allows it. */
inline place(placer) {
  totalRequests++;
  if
  :: succeeded || (isValid(placer) && exposed[placer] < allowance[placer]) ->
     exposed[placer]++;
     totalExposed++;
     assert(totalExposed <= bound(totalRequests))
  :: else
  fi
}

inline startAnew(leader, placer) {
#ifndef FORGETS_RESTART
  earlierSpent[leader] = earlierSpent[leader] + spentBy(at(leader, placer));
#endif
  seenExposed[at(leader, placer)] = 0;
  granted[at(leader, placer)] = 0;
  grantedAt[at(leader, placer)] = 0;
  hasGranted[at(leader, placer)] = false;
  exposedBefore[at(leader, placer)] = 0
}

/* The leaders learn of a restart by the incarnation in the next report. That they learn
   of it at once makes no difference to the sums. */
inline restart(placer) {
  restarted = true;
  exposed[placer] = 0;
  allowance[placer] = 0;
  validUntil[placer] = 0;
  startAnew(0, placer);
  startAnew(1, placer)
}

inline readReservation() {
  secondLeads = true;
  firstHasWritten = false;
  ownReserved[1] = reserved;
#ifndef FRESH_LEADER
  earlierSpent[1] = reserved
#endif
}

inline reserve(leader) {
  reserved = max(reserved, ownReserved[leader] + 1);
  ownReserved[leader] = ownReserved[leader] + 1;
  if
  :: leader == 0 -> firstHasWritten = secondLeads
  :: leader == 1 -> secondHasWritten = true
  fi
}

#ifdef BLIND_WRITE
#define writable(leader) true
#else
#define writable(leader) ((leader) == 0 -> !secondHasWritten : (secondLeads && !firstHasWritten))
#endif

#ifdef NO_REMAINDER
#define mustFit 0
#else
#define mustFit stillToCome
#endif

/* The steps of the leaders in a tick: a takeover, reservations, the end of the rollout. */
inline runLeaders() {
  if
  :: !secondLeads || (firstHasWritten && !secondHasWritten) -> readReservation()
  :: true
  fi;
  if
  :: writable(0) && ownReserved[0] < budget -> reserve(0)
  :: true
  fi;
  if
  :: writable(1) && ownReserved[1] < budget -> reserve(1)
  :: true
  fi;
  if
  :: writable(0) && spent(0) + mustFit <= budget -> succeeded = true
  :: writable(1) && spent(1) + mustFit <= budget -> succeeded = true
  :: true
  fi
}

/* The steps of a placer in a tick: its messages, then at most one request. */
inline runPlacer(placer) {
  if
  :: placer == 1 && !restarted -> restart(placer)
  :: true
  fi;
  if
  :: placer == 0 && reportIsLate -> receiveLateReport(0)
  :: placer == 0 && reportIsLate && secondLeads -> receiveLateReport(1)
  :: true
  fi;
  if
  :: report(0, placer)
  :: secondLeads -> report(1, placer)
  :: true
  fi;
  if
  :: placer == 0 && permitIsLate -> receiveLatePermit()
  :: true
  fi;
  if
  :: place(placer)
  :: true
  fi
}

/* Forgets an ended permit, which makes no difference and saves states. */
inline forgetEnded(newAllowance, until) {
  if
  :: now >= until -> newAllowance = 0; until = 0
  :: else
  fi
}

inline tick() {
  now++;
#ifndef NO_EXPIRY
  forgetEnded(allowance[0], validUntil[0]);
  forgetEnded(allowance[1], validUntil[1])
#endif
}

active proctype environment() {
  do
  :: now < DEADLINE && !succeeded ->
     atomic { runLeaders() };
     atomic { runPlacer(0) };
     atomic { runPlacer(1); tick() }
  :: now < DEADLINE && succeeded ->
     /* The target version gets all requests. */
     atomic {
       if :: place(0) :: true fi;
       if :: place(1) :: true fi;
       tick()
     }
  :: now == DEADLINE -> break
  od
}

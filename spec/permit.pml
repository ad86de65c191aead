/*
 * A rate limit of one request per tick, reported by a runner and divided into two
 * shares. Each router on the list of schedulers grants permits from one share, at
 * most one every two ticks. The list changes once, from routers 0 and 1 to routers
 * 1 and 2, and each router reads the new list within MAX_LIST_DELAY ticks. One
 * router may restart once. A permit is used within PERMIT_LIFETIME ticks or never.
 * A router that becomes a scheduler or restarts as one grants nothing for
 * GRANT_DELAY ticks.
 *
 * Invariant: within any WINDOW ticks the runner receives at most what the limit
 * allows in WINDOW + PERMIT_LIFETIME ticks, plus one request per share.
 *
 * Mutants: NO_HOLD (a new scheduler grants at once), NO_END (permits never expire),
 * STAYS (a router that is no longer on the list continues to grant).
 */
#define END_TIME 12
#define WINDOW 4
#define PERMIT_LIFETIME 1
#define MAX_LIST_DELAY 2
#define GRANT_DELAY (MAX_LIST_DELAY + PERMIT_LIFETIME + 1)
#define SHARES 2
#define MAX_SENDS (WINDOW + PERMIT_LIFETIME + SHARES)

byte now = 0;
bool listChanged = false;
byte listChangedAt;
bool restarted = false;

/* State of each router. */
bool hasNewList[3];      /* the router has read the new list */
bool isScheduler[3];     /* the router is on the list that it has read */
byte grantFrom[3];       /* the first tick in which it may grant */
byte nextAt[3];          /* the tick in which its next permit is due */
byte unusedPermits[3];   /* the number of granted permits that are not used yet */
byte oldestGrantAt[3];   /* the tick in which the oldest unused permit was granted */

byte recentSends[WINDOW];     /* requests sent in each of the last ticks, newest first */

inline startGranting(router) {
  isScheduler[router] = true;
#ifdef NO_HOLD
  grantFrom[router] = now;
#else
  grantFrom[router] = now + GRANT_DELAY;
#endif
}

inline readNewList(router) {
  hasNewList[router] = true;
  if
  :: router == 2 -> startGranting(router)
#ifndef STAYS
  :: router == 0 -> isScheduler[router] = false
#endif
  :: else
  fi
}

inline restart(router) {
  restarted = true;
  nextAt[router] = 0;
  unusedPermits[router] = 0;
  hasNewList[router] = listChanged;
  if
  :: (listChanged && router > 0) || (!listChanged && router < 2) -> startGranting(router)
  :: else -> isScheduler[router] = false
  fi
}

inline runRouter(router) {
  if
  :: listChanged && !hasNewList[router] && now - listChangedAt >= MAX_LIST_DELAY -> readNewList(router)
  :: listChanged && !hasNewList[router] && now - listChangedAt < MAX_LIST_DELAY ->
     if
     :: readNewList(router)
     :: true
     fi
  :: else
  fi;
  if
  :: !restarted -> restart(router)
  :: true
  fi;
  if
  :: isScheduler[router] && now >= grantFrom[router] && now >= nextAt[router] ->
     if
     :: nextAt[router] = now + SHARES;
        oldestGrantAt[router] = (unusedPermits[router] == 0 -> now : oldestGrantAt[router]);
        unusedPermits[router]++
     :: true
     fi
  :: else
  fi;
  do
  :: unusedPermits[router] > 0 -> unusedPermits[router]--; recentSends[0]++
  :: break
  od;
#ifndef NO_END
  if
  :: unusedPermits[router] > 0 && now - oldestGrantAt[router] >= PERMIT_LIFETIME -> unusedPermits[router] = 0
  :: else
  fi
#endif
}

active proctype environment() {
  isScheduler[0] = true;
  isScheduler[1] = true;
  do
  :: now < END_TIME -> atomic {
       if
       :: !listChanged -> listChanged = true; listChangedAt = now
       :: true
       fi;
       runRouter(0);
       runRouter(1);
       runRouter(2);
       assert(recentSends[0] + recentSends[1] + recentSends[2] + recentSends[3] <= MAX_SENDS);
       recentSends[3] = recentSends[2];
       recentSends[2] = recentSends[1];
       recentSends[1] = recentSends[0];
       recentSends[0] = 0;
       now++
     }
  :: now == END_TIME -> break
  od
}
